/**
 * @fileoverview Tokens of a workspace's prepaid total that a request used.
 */
import {type GenerationParameters} from './wireCodec.js';

/** Events that a server may have sent and that did not arrive. */
const maxEventsInTransit = 1;

/** Known usage of a finished request. */
export interface RequestUsage {
  generation: GenerationParameters;
  /** Whether a server may have executed it. */
  mayHaveRun: boolean;
  /** Complete events that arrived. */
  events: number;
  /** Maximum tokens per event; `maxOutputTokens` where it is not configured. */
  tokensPerEvent?: number;
}

/**
 * Returns the maximum number of tokens that the request can have used. The
 * prompt counts once, whatever the number of attempts.
 */
export function usedTokens({
  generation: {promptTokens, maxOutputTokens},
  mayHaveRun,
  events,
  tokensPerEvent = maxOutputTokens,
}: RequestUsage): number {
  if (!mayHaveRun) return 0;
  const output = (events + maxEventsInTransit) * tokensPerEvent;
  return promptTokens + Math.min(maxOutputTokens, output);
}
