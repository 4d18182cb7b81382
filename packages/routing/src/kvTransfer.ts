/**
 * @fileoverview Whether a server should import the KV cache of a prompt from
 * another server or compute it again.
 */

export interface KvTransferOptions {
  /** Size of the cache per prompt token. */
  bytesPerToken: number;
  /** Rate of a transfer between two servers. */
  bytesPerSecond: number;
  /** Time before the first byte of a transfer arrives. */
  setupMilliseconds: number;
  /** The import must be at least this much faster, as estimates err. */
  margin: number;
}

export const defaultKvTransferOptions: KvTransferOptions = {
  bytesPerToken: 131_072,
  bytesPerSecond: 1_000_000_000,
  setupMilliseconds: 20,
  margin: 1.5,
};

export interface KvTransferInput {
  promptTokens: number;
  /** Share of the prompt that the destination has cached, from 0 to 1. */
  destinationHitRatio: number;
  sourceHitRatio: number;
  /** Whether both ends announce KV export and import. */
  supported: boolean;
  /** Prompt tokens per second that the destination computes at its load. */
  prefillTokensPerSecond: number;
}

export interface KvTransferDecision {
  transfer: boolean;
  importMilliseconds: number;
  recomputeMilliseconds: number;
}

export function decideKvTransfer(
  input: KvTransferInput,
  options: Partial<KvTransferOptions> = {},
): KvTransferDecision {
  const {bytesPerToken, bytesPerSecond, setupMilliseconds, margin} = {
    ...defaultKvTransferOptions,
    ...options,
  };
  const gained = Math.max(0, input.sourceHitRatio - input.destinationHitRatio);
  const tokens = gained * input.promptTokens;
  const recomputeMilliseconds = (tokens / input.prefillTokensPerSecond) * 1_000;
  const importMilliseconds =
    setupMilliseconds + (tokens * bytesPerToken * 1_000) / bytesPerSecond;
  const transfer =
    input.supported &&
    tokens > 0 &&
    importMilliseconds * margin < recomputeMilliseconds;
  return {transfer, importMilliseconds, recomputeMilliseconds};
}
