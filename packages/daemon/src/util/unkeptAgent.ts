/**
 * @fileoverview Connections that carry one call each.
 *
 * A server may send a response once more. Where responses don't tell to which call
 * they belong, one on a connection of its own can only be that of its call.
 */
import {Agent} from 'undici';

/** Returns an agent that keeps no connection for another call. */
export function createUnkeptAgent(options: Agent.Options = {}): Agent {
  return new Agent({...options, pipelining: 0});
}
