/**
 * @fileoverview Limits on how many requests of a customer and of a workspace
 * run at once on this instance.
 */
import {type LimitDecision} from './rateLimiter.js';
import {type LimitedRequest, scopesOf} from './util/limitScope.js';

export interface ConcurrencyLimiterOptions {
  /** When a refused caller should come back. */
  retryAfterMilliseconds: number;
}

export const defaultConcurrencyLimiterOptions: ConcurrencyLimiterOptions = {
  retryAfterMilliseconds: 1_000,
};

export class ConcurrencyLimiter {
  private readonly options: ConcurrencyLimiterOptions;
  private readonly running = new Map<string, number>();

  constructor(options: Partial<ConcurrencyLimiterOptions> = {}) {
    this.options = {...defaultConcurrencyLimiterOptions, ...options};
  }

  /** Counts a request in; an allowed one must be released once. */
  acquire(request: LimitedRequest): LimitDecision {
    const scopes = scopesOf(request);
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
