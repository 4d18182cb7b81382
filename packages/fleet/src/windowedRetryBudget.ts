/**
 * @fileoverview The fleet's budget of repeats over a sliding window, divided
 * among routers that may not see each other.
 *
 * The part in proportion to requests is safe to spend on own requests alone;
 * the fixed part is divided by the number of routers. So the sum over all
 * routers stays within the bound, whoever is cut off.
 */

export interface WindowedRetryBudgetOptions {
  /** Repeats allowed for each request of the window. */
  ratio: number;
  /** Repeats allowed besides, over all routers. */
  slack: number;
  windowMilliseconds: number;
  /** Part of the bound that is used, as requests are counted elsewhere. */
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
  repeats: number;
}

/** Repeats of one router to all services. */
export class WindowedRetryBudget {
  private readonly options: WindowedRetryBudgetOptions;
  private readonly services = new Map<string, Bucket[]>();

  constructor(options: Partial<WindowedRetryBudgetOptions> = {}) {
    this.options = {...defaultOptions, ...options};
  }

  /** Counts a request of a caller to a service. */
  recordRequest(service: string, now: number): void {
    this.bucket(service, now).requests++;
  }

  /**
   * Takes one repeat from the budget; false where there is none left.
   *
   * @param routers Most routers that may be live at once.
   */
  takeRetry(service: string, routers: number, now: number): boolean {
    const {ratio, slack, safetyFactor} = this.options;
    const bucket = this.bucket(service, now);
    const buckets = this.services.get(service) ?? [];
    const requests = buckets.reduce((sum, {requests}) => sum + requests, 0);
    const repeats = buckets.reduce((sum, {repeats}) => sum + repeats, 0);
    const allowed =
      safetyFactor * (ratio * requests + slack / Math.max(1, routers));
    if (repeats + 1 > allowed) return false;
    bucket.repeats++;
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
    const bucket = {start, requests: 0, repeats: 0};
    buckets.push(bucket);
    return bucket;
  }
}
