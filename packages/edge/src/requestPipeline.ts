/**
 * @fileoverview Lets the requests of one connection run one after another.
 *
 * A caller may send requests without waiting for answers, and an answer may end
 * the connection. A request behind such an answer would run and never be
 * answered, so it waits for its turn before it is passed on.
 */
import {type Socket} from 'node:net';

import {type CallerExchange} from './callerExchange.js';

/** Turns of all connections. */
export class RequestPipeline {
  private readonly newest = new WeakMap<Socket, CallerExchange>();

  /**
   * Resolves when all earlier requests of the connection have been answered;
   * false where the connection ended with one of them.
   */
  async waitForTurn(
    socket: Socket,
    exchange: CallerExchange,
  ): Promise<boolean> {
    const previous = this.newest.get(socket);
    this.newest.set(socket, exchange);
    if (previous === undefined) return true;
    await previous.closed;
    return !previous.endsConnection && !socket.destroyed;
  }
}
