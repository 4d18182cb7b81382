/**
 * @fileoverview Bounds retries to a share of the requests of the last while,
 * so that a failing fleet isn't loaded further by its own retries.
 */

export interface RetryBudgetOptions {
  /** Retries per request in the window. */
  retryRatio: number;
  windowMilliseconds: number;
  /** Retries that are allowed however few requests there were. */
  minimumRetries: number;
}

export const defaultRetryBudgetOptions: RetryBudgetOptions = {
  retryRatio: 0.1,
  windowMilliseconds: 10_000,
  minimumRetries: 3,
};

const bucketsPerWindow = 10;

interface Bucket {
  index: number;
  requests: number;
  retries: number;
}

export class RetryBudget {
  private readonly options: RetryBudgetOptions;
  /** Oldest first. */
  private buckets: Bucket[] = [];

  constructor(options: Partial<RetryBudgetOptions> = {}) {
    this.options = {...defaultRetryBudgetOptions, ...options};
  }

  /** Counts a request's first attempt. */
  recordRequest(now: number): void {
    this.bucketAt(now).requests += 1;
  }

  /** Takes a retry from the budget; false if it is used up. */
  tryRetry(now: number): boolean {
    const current = this.bucketAt(now);
    const {retryRatio: share, minimumRetries} = this.options;
    let requests = 0;
    let retries = 0;
    for (const bucket of this.buckets) {
      requests += bucket.requests;
      retries += bucket.retries;
    }
    if (retries + 1 > Math.max(minimumRetries, share * requests)) return false;
    current.retries += 1;
    return true;
  }

  private bucketAt(now: number): Bucket {
    const width = this.options.windowMilliseconds / bucketsPerWindow;
    const index = Math.floor(now / width);
    this.buckets = this.buckets.filter(
      bucket => bucket.index > index - bucketsPerWindow,
    );
    const newest = this.buckets[this.buckets.length - 1];
    if (newest && newest.index >= index) return newest;
    const bucket = {index, requests: 0, retries: 0};
    this.buckets.push(bucket);
    return bucket;
  }
}
