/**
 * @fileoverview Enforces the request rate limits of customers and workspaces
 * from their contracts. Both limits must allow a request; a refused request
 * consumes neither.
 */
import {type Limits} from '@dogwoodtrestle/schema';

import {limitScopesOf, type LimitedRequest} from './util/limitScope.js';
import {TokenBucket} from './util/tokenBucket.js';

/** Whether a limit allows a request and, if not, which one refused it. */
export type LimitDecision =
  | {allowed: true}
  | {
      allowed: false;
      scope: 'customer' | 'workspace';
      retryAfterMilliseconds: number;
    };

/** Burst size and retention of token buckets. */
export interface RateLimiterOptions {
  /** Burst size as time at the full rate; a burst is at least 1 request. */
  burstMilliseconds: number;
  /** Time without requests after which a bucket is removed. */
  idleMilliseconds: number;
}

/** Default burst size and retention. */
export const defaultRateLimiterOptions: RateLimiterOptions = {
  burstMilliseconds: 1_000,
  idleMilliseconds: 60_000,
};

interface RateBucket {
  rate: number;
  bucket: TokenBucket;
  usedAt: number;
}

/** Token buckets by customer and workspace. Times are in milliseconds. */
export class RateLimiter {
  private readonly options: RateLimiterOptions;
  private readonly buckets = new Map<string, RateBucket>();

  constructor(options: Partial<RateLimiterOptions> = {}) {
    this.options = {...defaultRateLimiterOptions, ...options};
  }

  /** Takes one request from the buckets of its customer and its workspace. */
  take(request: LimitedRequest, now: number): LimitDecision {
    const buckets: TokenBucket[] = [];
    for (const {key, scope, limits} of limitScopesOf(request)) {
      const bucket = this.bucketOf(key, limits, now);
      if (!bucket) continue;
      const retryAfterMilliseconds = bucket.waitMilliseconds(1, now);
      if (retryAfterMilliseconds > 0) {
        return {allowed: false, scope, retryAfterMilliseconds};
      }
      buckets.push(bucket);
    }
    for (const bucket of buckets) bucket.take(1, now);
    return {allowed: true};
  }

  /**
   * Removes idle buckets. They are full again, unless the rate is below one
   * request per `idleMilliseconds`.
   */
  removeIdle(now: number): void {
    for (const [key, {usedAt}] of this.buckets) {
      if (now - usedAt >= this.options.idleMilliseconds) {
        this.buckets.delete(key);
      }
    }
  }

  private bucketOf(
    key: string,
    {requestsPerSecond: rate}: Limits,
    now: number,
  ): TokenBucket | undefined {
    if (rate === undefined) {
      this.buckets.delete(key);
      return undefined;
    }
    const burst = Math.max(1, (rate * this.options.burstMilliseconds) / 1_000);
    const bucketOptions = {tokensPerSecond: rate, burst};
    const known = this.buckets.get(key);
    if (!known) {
      const bucket = new TokenBucket(bucketOptions, now);
      this.buckets.set(key, {rate, bucket, usedAt: now});
      return bucket;
    }
    if (known.rate !== rate) known.bucket.configure(bucketOptions, now);
    known.rate = rate;
    known.usedAt = now;
    return known.bucket;
  }
}
