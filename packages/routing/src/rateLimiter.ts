/**
 * @fileoverview Rate limits of customers and workspaces, as contracts state
 * them. Both must allow a request; a refused one uses up neither.
 */
import {type Limits} from '@dogwoodtrestle/schema';

import {scopesOf, type LimitedRequest} from './util/limitScope.js';
import {TokenBucket} from './util/tokenBucket.js';

export type LimitDecision =
  | {allowed: true}
  | {
      allowed: false;
      scope: 'customer' | 'workspace';
      retryAfterMilliseconds: number;
    };

export interface RateLimiterOptions {
  /** The bucket holds what the rate brings in this time, at least one. */
  burstMilliseconds: number;
  /** Buckets that nobody has used for this long are dropped. */
  idleMilliseconds: number;
}

export const defaultRateLimiterOptions: RateLimiterOptions = {
  burstMilliseconds: 1_000,
  idleMilliseconds: 60_000,
};

interface LimitedBucket {
  rate: number;
  bucket: TokenBucket;
  usedAt: number;
}

export class RateLimiter {
  private readonly options: RateLimiterOptions;
  private readonly buckets = new Map<string, LimitedBucket>();

  constructor(options: Partial<RateLimiterOptions> = {}) {
    this.options = {...defaultRateLimiterOptions, ...options};
  }

  /** Takes one request from the limits of its customer and its workspace. */
  take(request: LimitedRequest, now: number): LimitDecision {
    const buckets: TokenBucket[] = [];
    for (const {key, scope, limits} of scopesOf(request)) {
      const bucket = this.bucketOf(key, limits, now);
      if (!bucket) continue;
      const retryAfterMilliseconds = bucket.waitFor(1, now);
      if (retryAfterMilliseconds > 0) {
        return {allowed: false, scope, retryAfterMilliseconds};
      }
      buckets.push(bucket);
    }
    for (const bucket of buckets) bucket.take(1, now);
    return {allowed: true};
  }

  /** Drops buckets that have been idle, and are full again by now. */
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
