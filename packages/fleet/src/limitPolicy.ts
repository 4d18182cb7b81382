/**
 * @fileoverview How the limit of a backend server is divided among the routers.
 *
 * The larger part is leased by the leader of the control processes, by demand.
 * The rest belongs to routers that all of them derive from the list of routers,
 * so that it is used without a leader and nobody has to grant it. Both parts
 * together never exceed the limit.
 */
import {rankFor} from './rendezvous.js';

/** Parts of a limit and how many routers share them. */
export interface LimitPolicy {
  /** Part of a limit that the leader leases. */
  leasedPart: number;
  /** Time for which a lease holds unless it is renewed, in milliseconds. */
  leaseMilliseconds: number;
  /** Most routers with a lease: this many for each request per second. */
  lesseesPerRequest: number;
  /** Most routers with a lease, in addition. */
  minLessees: number;
  /** Routers that share the rest: this many for each request per second. */
  baseHoldersPerRequest: number;
  /** Unused requests that a router may save, as time at its rate; at least one. */
  burstMilliseconds: number;
  /** Time for which a plan is kept, as each plan ranks all routers. */
  planMilliseconds: number;
  /**
   * Time after the end of a lease for which what it allowed may stay in use, where
   * nothing shorter is known. A new leader knows only what routers report until
   * all such time has passed.
   */
  releaseMilliseconds: number;
  /** Whether a router gets no more than it needs, so that others find some left. */
  isBoundByNeed: boolean;
  /**
   * Whether routers with a lease get equal parts, and nobody a smaller one. So the
   * number of leases in force is bounded, and with it what all of them may save.
   */
  isEven?: boolean;
  /**
   * Time for which a router keeps its lease if others wait, where a lease of less
   * than one unit of the limit is of no use. Such leases aren't given then.
   */
  turnMilliseconds?: number;
}

/**
 * Each router with a part of a limit of N requests per second may save one
 * request, or more by its rate. So a server gets at most
 * 4 N + 0.5 N + 3 + 0.2 N + 1 + 1.25 N in 4 s; the users allow 6 N + 5.
 */
export const defaultLimitPolicy: LimitPolicy = {
  leasedPart: 0.8,
  leaseMilliseconds: 8_000,
  lesseesPerRequest: 0.5,
  minLessees: 3,
  baseHoldersPerRequest: 0.2,
  burstMilliseconds: 1_250,
  planMilliseconds: 500,
  releaseMilliseconds: 0,
  isBoundByNeed: false,
};

/** What a cold server may get in any one second, beyond its limit. */
export interface ColdLimitBounds {
  /** Factor of the limit. */
  overage: number;
  /** Requests in addition. */
  slack: number;
}

/** Bounds where the settings state none: the limit and what one router saves. */
export const defaultColdLimitBounds: ColdLimitBounds = {overage: 1, slack: 2};

/** Part of a cold server's limit that is leased. */
const coldLeasedPart = 0.9;

/** Requests of a router beyond its rate: one saved, one on a slow connection. */
const coldRequestsPerLessee = 2;

/**
 * Returns how the limit of a cold server is divided. All of it is leased: routers
 * with different lists of routers would derive different base parts, and each of
 * them may send one request.
 *
 * In any one second, L routers with a lease of N requests per second send at most
 * 0.9 N + 2 L requests, so L is the largest number that keeps this within the
 * bounds. Where none does, cold servers get nothing.
 */
export function coldLimitPolicy({
  overage,
  slack,
}: ColdLimitBounds): LimitPolicy {
  const lesseesPerRequest = (overage - coldLeasedPart) / coldRequestsPerLessee;
  return {
    leasedPart: coldLeasedPart,
    // Four calls of a router.
    leaseMilliseconds: 4_000,
    lesseesPerRequest: Math.max(0, lesseesPerRequest),
    minLessees: Math.floor(slack / coldRequestsPerLessee),
    baseHoldersPerRequest: 0,
    burstMilliseconds: 0,
    planMilliseconds: 500,
    releaseMilliseconds: 0,
    isBoundByNeed: false,
    isEven: true,
  };
}

/** Error of a number of units. */
const unitTolerance = 1e-6;

/** A router among all routers that it knows. */
export interface RouterPosition {
  /** Peer address of the router. */
  address: string;
  /** Peer addresses of the routers that are live, as last reported. */
  routers: readonly string[];
  /** Largest number of routers that may be live. */
  routerCount: number;
}

/** Returns how many routers may have a lease of a limit. */
export function maxLessees(
  perSecond: number,
  policy: LimitPolicy = defaultLimitPolicy,
): number {
  const {lesseesPerRequest, minLessees, turnMilliseconds} = policy;
  if (turnMilliseconds === undefined) {
    return Math.floor(perSecond * lesseesPerRequest) + minLessees;
  }
  const units = leasedPartOf(perSecond, policy) * Math.max(1, perSecond);
  return Math.floor(units + unitTolerance);
}

/** Returns the part of a limit that is leased: of a low one, a unit where it has to be. */
export function leasedPartOf(perSecond: number, policy: LimitPolicy): number {
  const {leasedPart, turnMilliseconds} = policy;
  if (turnMilliseconds === undefined) return leasedPart;
  return Math.max(leasedPart, 1 / Math.max(1, perSecond));
}

/** Returns the smallest part of a limit that is leased to a router. */
export function minLeasedShare(perSecond: number, policy: LimitPolicy): number {
  if (policy.turnMilliseconds !== undefined) return 1 / Math.max(1, perSecond);
  if (policy.isEven !== true) return 0;
  return policy.leasedPart / Math.max(1, maxLessees(perSecond, policy));
}

/**
 * Returns the part of a server's limit that a router may use without a lease.
 *
 * A leader that has just started reports few routers. Each of them would find
 * itself first in the list, so the part shrinks with the list's length.
 */
export function basePart(
  server: string,
  perSecond: number,
  {address, routers, routerCount}: RouterPosition,
  policy: LimitPolicy = defaultLimitPolicy,
): number {
  const {leasedPart, baseHoldersPerRequest} = policy;
  const holders = Math.max(1, Math.floor(perSecond * baseHoldersPerRequest));
  const rank = rankFor(server, routers).indexOf(address);
  if (rank < 0 || rank >= holders) return 0;
  const known = Math.min(1, routers.length / Math.max(1, routerCount));
  return ((1 - leasedPart) / holders) * known;
}
