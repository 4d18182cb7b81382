/**
 * @fileoverview The limit of one incarnation of a backend server as one router
 * keeps it: what is known of the limit, the router's parts of it, and the
 * requests that these allow now.
 *
 * Parts are shares of the limit, so a limit that changes changes the rate of all
 * routers without any message.
 */
import {TokenBucket} from '@dogwoodtrestle/routing';
import {type LimitLease} from '@dogwoodtrestle/schema';

import {HeldLease, type LeaseRequestTime} from './heldLease.js';
import {KnownLimit, type LimitSource} from './knownLimit.js';
import {defaultLimitPolicy, type LimitPolicy} from './limitPolicy.js';

/** A limit and this router's part of it, for logs. */
export interface LimitView {
  perSecond: number;
  ageMilliseconds: number;
  source: LimitSource;
  /** Part of the limit that this router may use, from 0 to 1. */
  share: number;
}

/** Time for which an available request waits for one that prefers the server. */
const dueAfterMilliseconds = 500;

/** Limits the requests of this router to one server. Times in milliseconds. */
export class RequestLimit {
  readonly known = new KnownLimit();
  private readonly lease: HeldLease;
  private base = 0;
  private bucket?: {tokens: TokenBucket; rate: number};
  /** Since when a request has been available. */
  private availableSince?: number;

  /** @param wallNow Returns the time by the wall clock. */
  constructor(
    wallNow: () => number,
    private readonly policy: LimitPolicy = defaultLimitPolicy,
  ) {
    this.lease = new HeldLease(wallNow);
  }

  /** Whether the server states a limit. */
  get isActive(): boolean {
    return this.known.perSecond !== undefined;
  }

  /** Id of the newest lease, including one that has ended. */
  get leaseId(): string | undefined {
    return this.lease.newest?.id;
  }

  /** Replaces the lease, unless the present one is newer. */
  setLease(lease: LimitLease, time: LeaseRequestTime): void {
    this.lease.replace(lease, time);
  }

  /** Sets the part that needs no lease. */
  setBasePart(part: number): void {
    this.base = part;
  }

  /** Returns the part that is leased now. */
  leasedShare(now: number): number {
    return this.lease.share(now);
  }

  /** Returns the requests per second that this router may send; 0 without a limit. */
  allowedRate(now: number): number {
    const {perSecond} = this.known;
    if (perSecond === undefined) return 0;
    return (this.leasedShare(now) + this.base) * perSecond;
  }

  /** Returns the time until a request may be sent; Infinity without a part. */
  waitMilliseconds(now: number): number {
    if (!this.isActive) return 0;
    const bucket = this.bucketAt(now);
    if (bucket === undefined) return Infinity;
    const wait = bucket.waitMilliseconds(1, now);
    if (wait > 0) this.availableSince = undefined;
    else this.availableSince ??= now;
    return wait;
  }

  /** Whether a request may be sent. */
  admits(now: number): boolean {
    return this.waitMilliseconds(now) === 0;
  }

  /** Whether a request has been available for so long that it would be lost. */
  isDue(now: number): boolean {
    if (!this.isActive || !this.admits(now)) return false;
    return now - (this.availableSince ?? now) >= dueAfterMilliseconds;
  }

  /** Takes a request; {@link admits} must hold. */
  take(now: number): void {
    if (!this.isActive || !this.admits(now)) return;
    this.bucket?.tokens.take(1, now);
    this.availableSince = undefined;
  }

  /**
   * Returns the time after which a refused request may be sent, here or, without
   * a part of this router, by the next one that has one.
   */
  retryMilliseconds(now: number): number {
    const {perSecond} = this.known;
    if (perSecond === undefined) return 0;
    return Math.min(this.waitMilliseconds(now), 1_000 / perSecond);
  }

  /** Returns the limit for the logs; undefined if there is none. */
  view(now: number): LimitView | undefined {
    const {perSecond, observation} = this.known;
    if (perSecond === undefined || observation === undefined) return undefined;
    return {
      perSecond,
      ageMilliseconds: Math.round(now - observation.observedAt),
      source: observation.source,
      share: Math.round((this.leasedShare(now) + this.base) * 1_000) / 1_000,
    };
  }

  /** Returns the bucket at the present rate; undefined if the rate is 0. */
  private bucketAt(now: number): TokenBucket | undefined {
    const rate = this.allowedRate(now);
    if (rate <= 0) {
      this.bucket = undefined;
      return undefined;
    }
    const burst = Math.max(1, (rate * this.policy.burstMilliseconds) / 1_000);
    const options = {tokensPerSecond: rate, burst};
    if (this.bucket === undefined) {
      const tokens = new TokenBucket({...options, initialTokens: 0}, now);
      this.bucket = {tokens, rate};
    } else if (this.bucket.rate !== rate) {
      this.bucket.tokens.configure(options, now);
      this.bucket.rate = rate;
    }
    return this.bucket.tokens;
  }
}
