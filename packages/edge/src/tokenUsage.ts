/**
 * @fileoverview Tokens that a request has used of a workspace's prepaid total.
 */
import {type GenerationParameters} from './wireCodec.js';

/** Events that a server may have sent beyond those that arrived. */
const maxEventsInTransit = 1;

/** What is known of a request that has ended. */
export interface RequestUsage {
  generation: GenerationParameters;
  /** Whether a server may have run it. */
  mayHaveRun: boolean;
  /** Whole events that arrived. */
  events: number;
  /** Missing where the service doesn't say; then the most is assumed. */
  tokensPerEvent?: number;
}

/** Most that the request can have used; its prompt counts once. */
export function tokenUsage({
  generation: {promptTokens, maxOutputTokens},
  mayHaveRun,
  events,
  tokensPerEvent = maxOutputTokens,
}: RequestUsage): number {
  if (!mayHaveRun) return 0;
  const output = (events + maxEventsInTransit) * tokensPerEvent;
  return promptTokens + Math.min(maxOutputTokens, output);
}
