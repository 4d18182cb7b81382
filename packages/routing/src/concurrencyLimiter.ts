/**
 * @fileoverview Limits the concurrent requests per customer and per workspace
 * on this instance.
 */
import {type LimitDecision} from './rateLimiter.js';
import {type LimitedRequest, limitScopesOf} from './util/limitScope.js';

/** Options of a concurrency limiter. */
export interface ConcurrencyLimiterOptions {
  /** Time after which a refused caller should retry. */
  retryAfterMilliseconds: number;
}

/** Default options. */
export const defaultConcurrencyLimiterOptions: ConcurrencyLimiterOptions = {
  retryAfterMilliseconds: 1_000,
};

/** Counts of running requests by customer and workspace. */
export class ConcurrencyLimiter {
  private readonly options: ConcurrencyLimiterOptions;
  private readonly running = new Map<string, number>();

  constructor(options: Partial<ConcurrencyLimiterOptions> = {}) {
    this.options = {...defaultConcurrencyLimiterOptions, ...options};
  }

  /** Counts a request; each allowed request must be released exactly once. */
  acquire(request: LimitedRequest): LimitDecision {
    const scopes = limitScopesOf(request);
    for (const {key, scope, limits} of scopes) {
      const limit = limits.concurrentRequests ?? Infinity;
      if (this.count(key) >= limit) {
        const {retryAfterMilliseconds} = this.options;
        return {allowed: false, scope, retryAfterMilliseconds};
      }
    }
    for (const {key} of scopes) this.running.set(key, this.count(key) + 1);
    return {allowed: true};
  }

  /** Ends an allowed request. */
  release(request: Pick<LimitedRequest, 'customer' | 'workspace'>): void {
    const {customer, workspace} = request;
    for (const key of [customer, `${customer}/${workspace}`]) {
      const left = this.count(key) - 1;
      if (left > 0) this.running.set(key, left);
      else this.running.delete(key);
    }
  }

  private count(key: string): number {
    return this.running.get(key) ?? 0;
  }
}
