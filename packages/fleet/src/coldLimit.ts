/**
 * @fileoverview Limits the requests of this router to one cold server.
 *
 * Answers the load pattern of a failure domain whose servers come back together
 * with cold caches, while all routers look for idle servers: each router would
 * send its next requests there, and the servers would fail again.
 *
 * A router may use the part of the limit that it was leased before the server
 * turned cold, so no message is needed when it does. The servers of a service are
 * divided into groups, and a lease holds for each server of a group; so the groups
 * go to different routers, and the number of leases doesn't grow with that of the
 * servers.
 */
import {type LimitLease} from '@dogwoodtrestle/schema';

import {ColdPeriod, type ColdView} from './coldPeriod.js';
import {type LeaseRequestTime} from './heldLease.js';
import {type LimitPolicy} from './limitPolicy.js';
import {rendezvousWeight} from './rendezvous.js';
import {RequestLimit} from './requestLimit.js';

/** Groups of the servers of a service; all processes must have the same number. */
const groupCount = 8;

/** Names of the groups of a service. */
export function coldGroupsOf(service: string): string[] {
  return Array.from({length: groupCount}, (_, index) =>
    groupName(service, index),
  );
}

/** Returns the name of a server's group. */
export function coldGroupOf(service: string, server: string): string {
  return groupName(service, rendezvousWeight(service, server) % groupCount);
}

function groupName(service: string, index: number): string {
  return `${service}/${index}`;
}

/** Limit of the cold servers of a group, and this router's lease of it. */
export interface ColdTerms {
  /** Requests per second that each server takes of all routers. */
  perSecond: number;
  lease?: ColdLease;
}

/** A lease, and since when this router has had one without a pause. */
export interface ColdLease extends LimitLease, LeaseRequestTime {
  /** Monotonic time in milliseconds. */
  since: number;
}

/** Options of the limit of one server. */
export interface ColdLimitOptions {
  /** Returns the terms; undefined where cold servers have no limit. */
  terms: () => ColdTerms | undefined;
  policy: LimitPolicy;
  /** Returns the time by the wall clock. */
  wallNow: () => number;
  /**
   * Whether a request that begins now may reach a process that has started without
   * being heard of.
   */
  isUnproven?: (now: number) => boolean;
}

/**
 * Time after which a request may be repeated if nothing proves that the server
 * hasn't started again: the control processes may be back by then.
 */
const unprovenRetryMilliseconds = 1_000;

/** The limit of one incarnation. Times are in milliseconds. */
export class ColdLimit {
  readonly period: ColdPeriod;
  /** Requests of one cold period and one lease, and when both had begun. */
  private requests?: {limit: RequestLimit; since: number};
  /** Attempts that have taken a request and wait for a connection. */
  private readonly unsent = new Set<object>();
  /** When it was first unproven that the server hasn't started again. */
  private unprovenSince?: number;

  constructor(
    private readonly options: ColdLimitOptions,
    now: number,
  ) {
    this.period = new ColdPeriod(now);
  }

  /**
   * Returns the limit if it holds now: the server is cold, or may be, and cold ones
   * have one.
   */
  active(
    now: number,
    isUnproven = this.options.isUnproven?.(now) === true,
  ): RequestLimit | undefined {
    const isCold = this.period.isCold(now);
    const terms = isCold || isUnproven ? this.options.terms() : undefined;
    if (terms === undefined) return undefined;
    const {perSecond, lease} = terms;
    if (!isCold) this.unprovenSince ??= now;
    const begunAt = isCold ? this.period.since : this.unprovenSince;
    const since = Math.max(begunAt ?? now, lease?.since ?? now);
    const limit = this.requestsSince(since);
    limit.known.recordReport(perSecond, now);
    if (lease === undefined) return limit;
    limit.setLease(lease, lease);
    // Nothing is saved from before the period or the lease.
    limit.waitMilliseconds(since);
    return limit;
  }

  private requestsSince(since: number): RequestLimit {
    if (this.requests?.since === since) return this.requests.limit;
    const {policy, wallNow} = this.options;
    const limit = new RequestLimit(wallNow, policy);
    this.requests = {limit, since};
    return limit;
  }

  /**
   * Returns the time until a request may be sent; Infinity without a lease. While
   * another one waits for a connection it is that of one request, as those that
   * wait are sent together.
   */
  waitMilliseconds(now: number): number {
    const limit = this.active(now);
    if (limit === undefined) return 0;
    const wait = limit.waitMilliseconds(now);
    if (this.unsent.size === 0) return wait;
    return Math.max(wait, Math.ceil(1_000 / limit.allowedRate(now)));
  }

  /** Takes a request of an attempt that begins; {@link end} must follow. */
  take(attempt: object, now: number): void {
    const limit = this.active(now);
    if (limit === undefined) return;
    limit.take(now);
    this.unsent.add(attempt);
  }

  /**
   * Whether an attempt may be sent, now that its connection is open. One that
   * began while no limit held takes its request now.
   *
   * @param isUnproven Whether that connection may lead to a process that has
   *     started without being heard of.
   */
  send(attempt: object, now: number, isUnproven = false): boolean {
    if (this.unsent.delete(attempt)) return true;
    const limit = this.active(now, isUnproven);
    if (limit === undefined) return true;
    if (!limit.admits(now)) return false;
    limit.take(now);
    return true;
  }

  /** Records that an attempt has ended, sent or not. */
  end(attempt: object): void {
    this.unsent.delete(attempt);
  }

  /** Returns the time after which the server is warm or takes a request. */
  retryMilliseconds(now: number): number {
    const {remainingMilliseconds = 0} = this.view(now) ?? {};
    return Math.min(this.waitMilliseconds(now), remainingMilliseconds);
  }

  /** Returns the cold period; undefined if no limit holds. */
  view(now: number): ColdView | undefined {
    if (this.active(now) === undefined) return undefined;
    const period = this.period.view(now);
    if (period !== undefined) return period;
    return {
      cause: 'unproven',
      ageMilliseconds: Math.round(now - (this.unprovenSince ?? now)),
      remainingMilliseconds: unprovenRetryMilliseconds,
    };
  }
}
