/** @fileoverview Token bucket that takes the time as a parameter. */

/** Rate and size of a bucket. */
export interface TokenBucketOptions {
  tokensPerSecond: number;
  /** Maximum number of tokens. */
  burst: number;
  /** Tokens at the start; the bucket starts full by default. */
  initialTokens?: number;
}

/** A token bucket. Times are monotonic milliseconds. */
export class TokenBucket {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private options: TokenBucketOptions,
    now: number,
  ) {
    this.tokens = options.initialTokens ?? options.burst;
    this.refilledAt = now;
  }

  /** Changes rate and size; tokens above the new size are dropped. */
  configure(options: TokenBucketOptions, now: number): void {
    this.refill(now);
    this.options = options;
    this.tokens = Math.min(this.tokens, options.burst);
  }

  /** Returns the time until the tokens are available; 0 if they are now. */
  waitMilliseconds(tokens: number, now: number): number {
    this.refill(now);
    const missing = Math.min(tokens, this.options.burst) - this.tokens;
    if (missing <= 0) return 0;
    return Math.ceil((missing / this.options.tokensPerSecond) * 1_000);
  }

  /** Takes tokens; `waitMilliseconds` must have returned 0 for them. */
  take(tokens: number, now: number): void {
    this.refill(now);
    this.tokens -= tokens;
  }

  private refill(now: number): void {
    const elapsed = Math.max(0, now - this.refilledAt) / 1_000;
    this.refilledAt = Math.max(now, this.refilledAt);
    this.tokens = Math.min(
      this.options.burst,
      this.tokens + elapsed * this.options.tokensPerSecond,
    );
  }
}
