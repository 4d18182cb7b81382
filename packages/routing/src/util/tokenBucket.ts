/** @fileoverview Token bucket whose time comes in as a parameter. */

export interface TokenBucketOptions {
  tokensPerSecond: number;
  /** Most tokens that the bucket holds; it starts full. */
  burst: number;
}

export class TokenBucket {
  private tokens: number;
  private filledAt: number;

  constructor(
    private options: TokenBucketOptions,
    now: number,
  ) {
    this.tokens = options.burst;
    this.filledAt = now;
  }

  /** Changes rate and size; tokens above the new size are lost. */
  configure(options: TokenBucketOptions, now: number): void {
    this.fill(now);
    this.options = options;
    this.tokens = Math.min(this.tokens, options.burst);
  }

  /** Milliseconds until the tokens are there, 0 if they are there now. */
  waitFor(tokens: number, now: number): number {
    this.fill(now);
    const missing = Math.min(tokens, this.options.burst) - this.tokens;
    if (missing <= 0) return 0;
    return Math.ceil((missing / this.options.tokensPerSecond) * 1_000);
  }

  /** Takes tokens that `waitFor` found to be there. */
  take(tokens: number, now: number): void {
    this.fill(now);
    this.tokens -= tokens;
  }

  private fill(now: number): void {
    const elapsed = Math.max(0, now - this.filledAt) / 1_000;
    this.filledAt = Math.max(now, this.filledAt);
    this.tokens = Math.min(
      this.options.burst,
      this.tokens + elapsed * this.options.tokensPerSecond,
    );
  }
}
