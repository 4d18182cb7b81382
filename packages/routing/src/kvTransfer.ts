/**
 * @fileoverview Decides whether a server imports the KV cache of a prompt from
 * another server or recomputes it.
 */

/** Cost model of a transfer. */
export interface KvTransferOptions {
  /** Size of the KV cache per prompt token. */
  bytesPerToken: number;
  /** Transfer rate between two servers. */
  bytesPerSecond: number;
  /** Time before the first byte of a transfer arrives. */
  setupMilliseconds: number;
  /**
   * Minimum ratio of recompute time to import time. Above 1 because both are
   * estimates.
   */
  margin: number;
}

/** Default cost model. */
export const defaultKvTransferOptions: KvTransferOptions = {
  bytesPerToken: 131_072,
  bytesPerSecond: 1_000_000_000,
  setupMilliseconds: 20,
  margin: 1.5,
};

/** Prompt, caches and speed that the decision depends on. */
export interface KvTransferInput {
  /** Length of the prompt. */
  promptTokens: number;
  /** Share of the prompt that the destination has cached, from 0 to 1. */
  destinationHitRatio: number;
  /** Share of the prompt that the source has cached, from 0 to 1. */
  sourceHitRatio: number;
  /** Whether both servers announce KV transfer. */
  supported: boolean;
  /** Prompt tokens per second that the destination computes at its load. */
  prefillTokensPerSecond: number;
}

/** The decision with the estimated durations behind it. */
export interface KvTransferDecision {
  transfer: boolean;
  importMilliseconds: number;
  recomputeMilliseconds: number;
}

/** Compares the time to import the missing blocks with the time to recompute. */
export function decideKvTransfer(
  input: KvTransferInput,
  options: Partial<KvTransferOptions> = {},
): KvTransferDecision {
  const {bytesPerToken, bytesPerSecond, setupMilliseconds, margin} = {
    ...defaultKvTransferOptions,
    ...options,
  };
  const gainedRatio = Math.max(
    0,
    input.sourceHitRatio - input.destinationHitRatio,
  );
  const tokens = gainedRatio * input.promptTokens;
  const recomputeMilliseconds = (tokens / input.prefillTokensPerSecond) * 1_000;
  const importMilliseconds =
    setupMilliseconds + (tokens * bytesPerToken * 1_000) / bytesPerSecond;
  const transfer =
    input.supported &&
    tokens > 0 &&
    importMilliseconds * margin < recomputeMilliseconds;
  return {transfer, importMilliseconds, recomputeMilliseconds};
}
