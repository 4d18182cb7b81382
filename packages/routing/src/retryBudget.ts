/**
 * @fileoverview Limits retries to a share of recent requests, so that retries
 * do not add much load to servers that are already failing.
 */

/** Limits of a retry budget. */
export interface RetryBudgetOptions {
  /** Maximum retries per request in the window. */
  retryRatio: number;
  /** Length of the sliding window. */
  windowMilliseconds: number;
  /** Retries allowed per window regardless of the number of requests. */
  minimumRetries: number;
}

/** Default limits. */
export const defaultRetryBudgetOptions: RetryBudgetOptions = {
  retryRatio: 0.1,
  windowMilliseconds: 10_000,
  minimumRetries: 3,
};

/** Resolution of the sliding window. */
const bucketsPerWindow = 10;

/** Counts of one tenth of the window. */
interface Bucket {
  /** Number of the time slot since time 0. */
  index: number;
  requests: number;
  retries: number;
}

/** Retry budget over a sliding window. Times are monotonic milliseconds. */
export class RetryBudget {
  private readonly options: RetryBudgetOptions;
  /** Buckets of the current window, the oldest first. */
  private buckets: Bucket[] = [];

  constructor(options: Partial<RetryBudgetOptions> = {}) {
    this.options = {...defaultRetryBudgetOptions, ...options};
  }

  /** Counts a request's first attempt. */
  recordRequest(now: number): void {
    this.bucketAt(now).requests += 1;
  }

  /** Takes a retry from the budget; returns false if none is left. */
  tryRetry(now: number): boolean {
    const current = this.bucketAt(now);
    const {retryRatio: ratio, minimumRetries} = this.options;
    let requests = 0;
    let retries = 0;
    for (const bucket of this.buckets) {
      requests += bucket.requests;
      retries += bucket.retries;
    }
    if (retries + 1 > Math.max(minimumRetries, ratio * requests)) return false;
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
