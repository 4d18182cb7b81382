/**
 * @fileoverview The connections to each server of a service that one router may
 * open: an equal part that needs no lease, and a part that the leader leases by
 * demand.
 *
 * Load pattern: callers reach routers by a hash, so that a few routers get most
 * requests. Equal shares of a service's connections then refuse requests at these
 * routers while the shares of all others are idle.
 *
 * Shares are parts of what the service accepts, the same for each of its servers.
 * The equal parts and all leases together stay below it. The rest is a reserve for
 * connections that outlive their lease: of a router that stands still, and of
 * requests longer than `releaseMilliseconds`.
 */
import {type FleetConfiguration, type LimitLease} from '@dogwoodtrestle/schema';

import {HeldLease, type LeaseRequestTime} from './heldLease.js';
import {type LimitPolicy, type RouterPosition} from './limitPolicy.js';
import {rankFor} from './rendezvous.js';

/** Part of a service's connections that routers use without a lease. */
export const equalConnectionPart = 0.6;

/** How the leader leases connections. */
export const connectionLeasePolicy: LimitPolicy = {
  leasedPart: 0.3,
  leaseMilliseconds: 3_000,
  // Of no use here: as many as get a connection each, and the equal part is divided
  // by `equalConnections`.
  lesseesPerRequest: 0,
  minLessees: 0,
  baseHoldersPerRequest: 0,
  burstMilliseconds: 0,
  planMilliseconds: 50,
  // Where a service has no route. Others have the time limits of their requests.
  releaseMilliseconds: 15_000,
  isBoundByNeed: true,
  // A lease: so long a router is sure of it in any case.
  turnMilliseconds: 3_000,
};

/** Connections that a router asks for, as a factor of its recent peak. */
const growthFactor = 2;

/** Time over which a peak counts, so that unused shares come back soon. */
const peakMilliseconds = 1_000;

/**
 * Returns the connections that each router may open to each server without a
 * lease, not always an integer; undefined if there is less than one for each.
 *
 * @param total Connections that a server accepts of all routers.
 */
export function equalConnections(
  total: number,
  {routers, routerCount}: Omit<RouterPosition, 'address'>,
): number | undefined {
  const divided = total * equalConnectionPart;
  const count = Math.max(1, routerCount, routers.length);
  return divided >= count ? divided / count : undefined;
}

/**
 * Returns the connections to a server that a router may open without a lease
 * where there is less than one for each router: 1 for those that rendezvous
 * hashing ranks first, which are others at other servers.
 */
export function rankedConnections(
  server: string,
  total: number,
  {address, routers, routerCount}: RouterPosition,
): number {
  const divided = total * equalConnectionPart;
  const count = Math.max(1, routerCount, routers.length);
  // Routers that know few others would all find themselves first.
  const holders = Math.floor((divided * routers.length) / count);
  const rank = rankFor(server, routers).indexOf(address);
  return rank >= 0 && rank < holders ? 1 : 0;
}

/** Largest value in a time that passes in two halves. */
class RecentPeak {
  private previous = 0;
  private current = 0;
  private startedAt = -Infinity;

  record(value: number, now: number): void {
    this.advance(now);
    this.current = Math.max(this.current, value);
  }

  value(now: number): number {
    this.advance(now);
    return Math.max(this.previous, this.current);
  }

  private advance(now: number): void {
    const age = now - this.startedAt;
    if (age < peakMilliseconds) return;
    this.previous = age < 2 * peakMilliseconds ? this.current : 0;
    this.current = 0;
    this.startedAt = now;
  }
}

/** What a router reports of its share. */
export interface ShareReport {
  /** Connections that it needs beyond those without a lease. */
  demand: number;
  /** Part of the service's connections that it uses or may use by its lease. */
  share: number;
  /** Newest lease that it has. */
  lease?: string;
}

/** One router's share of the connections of a service. Times in milliseconds. */
export class ConnectionShare {
  private readonly lease: HeldLease;
  private readonly peak = new RecentPeak();
  private reportedDemand = 0;
  /** Whether the leader doesn't know yet that a lease has arrived. */
  private isUnconfirmed = false;

  /** @param wallNow Returns the time by the wall clock. */
  constructor(wallNow: () => number) {
    this.lease = new HeldLease(wallNow);
  }

  /** Replaces the lease, unless the present one is newer. */
  setLease(lease: LimitLease, time: LeaseRequestTime): void {
    const previous = this.lease.newest?.share ?? 0;
    if (!this.lease.replace(lease, time)) return;
    this.isUnconfirmed ||= lease.share > 0 || previous > 0;
  }

  /** Records that a leader has received a report with the lease. */
  confirm(lease: string | undefined): void {
    if (this.lease.newest?.id === lease) this.isUnconfirmed = false;
  }

  /** Returns the part that is leased now. */
  leasedShare(now: number): number {
    return this.lease.share(now);
  }

  /** Records the connections to one server that are in use or wanted. */
  recordUse(connections: number, now: number): void {
    this.peak.record(connections, now);
  }

  /** Returns the connections beyond the equal part that the router should get. */
  demand(equal: number, now: number): number {
    return Math.max(0, growthFactor * this.peak.value(now) - equal);
  }

  /** Whether the demand is higher than in the last report. */
  isRising(equal: number, now: number): boolean {
    return this.demand(equal, now) > this.reportedDemand;
  }

  /**
   * Returns the report to the leader; undefined if there is nothing to report.
   *
   * @param busy Connections in use at the server at which they are the most.
   */
  report(
    {equal, total, busy}: {equal: number; total: number; busy: number},
    now: number,
  ): ShareReport | undefined {
    const demand = this.demand(equal, now);
    this.reportedDemand = demand;
    const leased = this.leasedShare(now);
    // Connections outlive a lease that has ended, or that was replaced by a less.
    const used = Math.max(0, busy - equal) / Math.max(1, total);
    const share = Math.min(1, Math.max(leased, used));
    if (demand === 0 && share === 0 && !this.isUnconfirmed) return undefined;
    return {demand, share, lease: this.lease.newest?.id};
  }
}

/** Time within which the connection of a request that has timed out is closed. */
const closeMilliseconds = 500;

/**
 * Returns the time for which a request may use a connection to a service, in
 * milliseconds: the longest time limit of its routes.
 */
export function longestRequest(
  service: string,
  configuration?: Pick<FleetConfiguration, 'routes'>,
): number {
  const limits = (configuration?.routes ?? [])
    .filter(({targets}) => targets.some(target => target.service === service))
    .map(({timeoutMilliseconds}) => timeoutMilliseconds);
  if (limits.length === 0) return connectionLeasePolicy.releaseMilliseconds;
  return Math.max(...limits) + closeMilliseconds;
}
