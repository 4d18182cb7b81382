/**
 * @fileoverview Retry budget of the fleet over a sliding window, divided among
 * routers without communication between them.
 *
 * Each router counts only its own requests for the part of the budget that is
 * proportional to requests, and gets an equal share of the fixed part. So the sum
 * over all routers stays within the budget even if some are partitioned.
 */

/** Options of a retry budget. */
export interface WindowedRetryBudgetOptions {
  /** Retries allowed per request of the window. */
  ratio: number;
  /** Additional retries allowed in the window, over all routers. */
  slack: number;
  windowMilliseconds: number;
  /** Part of the budget that is used; a margin, as requests are counted elsewhere. */
  safetyFactor: number;
}

const defaultOptions: WindowedRetryBudgetOptions = {
  ratio: 0.2,
  slack: 50,
  windowMilliseconds: 10_000,
  safetyFactor: 0.75,
};

/** Granularity of the window. */
const bucketMilliseconds = 500;

interface Bucket {
  start: number;
  requests: number;
  retries: number;
}

/** Retry budget of one router, by service. Times are in milliseconds. */
export class WindowedRetryBudget {
  private readonly options: WindowedRetryBudgetOptions;
  private readonly services = new Map<string, Bucket[]>();

  constructor(options: Partial<WindowedRetryBudgetOptions> = {}) {
    this.options = {...defaultOptions, ...options};
  }

  /** Records a request of a caller to a service. */
  recordRequest(service: string, now: number): void {
    this.bucket(service, now).requests++;
  }

  /**
   * Whether the budget has a retry left.
   *
   * @param routers Largest number of routers that may be live at once.
   */
  hasRetry(service: string, routers: number, now: number): boolean {
    const {ratio, slack, safetyFactor} = this.options;
    // Drops the buckets that have left the window.
    this.bucket(service, now);
    const buckets = this.services.get(service) ?? [];
    const requests = buckets.reduce((sum, {requests}) => sum + requests, 0);
    const retries = buckets.reduce((sum, {retries}) => sum + retries, 0);
    const allowed =
      safetyFactor * (ratio * requests + slack / Math.max(1, routers));
    return retries + 1 <= allowed;
  }

  /** Takes one retry from the budget; returns false if none is left. */
  takeRetry(service: string, routers: number, now: number): boolean {
    if (!this.hasRetry(service, routers, now)) return false;
    this.bucket(service, now).retries++;
    return true;
  }

  private bucket(service: string, now: number): Bucket {
    const start = Math.floor(now / bucketMilliseconds) * bucketMilliseconds;
    const oldest = start - this.options.windowMilliseconds;
    const buckets = (this.services.get(service) ?? []).filter(
      bucket => bucket.start >= oldest,
    );
    this.services.set(service, buckets);
    const newest = buckets.at(-1);
    if (newest?.start === start) return newest;
    const bucket = {start, requests: 0, retries: 0};
    buckets.push(bucket);
    return bucket;
  }
}
