/**
 * @fileoverview Decides how much of a workspace's prepaid total each router
 * holds, so that it can serve through a partition without starving the others.
 *
 * A router is given what it spends over a horizon, and a floor that covers one
 * large request. Near exhaustion the rest is divided by the routers' rates.
 */

/** What the decision looks at. */
export interface GrantDemand {
  /** Tokens a second that this router reserved lately. */
  rate: number;
  /** The same, of all routers of the workspace. */
  totalRate: number;
  /** Routers heard of lately. */
  routers: number;
  /** Unspent tokens that no router holds. */
  ungranted: number;
  /** Unspent tokens that live routers hold. */
  held: number;
  /** Tokens that requests of other routers wait for. */
  wantedElsewhere: number;
}

/** Bounds of the decision. */
export interface GrantSizingOptions {
  /** Seconds of its own demand that a router holds. */
  horizonSeconds: number;
  /** Tokens that every router should hold, for one large request. */
  floorTokens: number;
  /** Part of the unspent tokens that floors may take together. */
  floorShare: number;
  /** Part of the unspent tokens that routers hold together at the most. */
  dividedShare: number;
}

export const defaultGrantSizingOptions: GrantSizingOptions = {
  // Longest partition of the users' days, 9 s, with a rise of the demand in it.
  horizonSeconds: 14,
  // A long prompt and its answer on the users' sheets.
  floorTokens: 12_000,
  floorShare: 0.25,
  dividedShare: 0.97,
};

/** Most that one router gets, in even shares. */
const mostShares = 2.5;

/** Returns the unspent tokens that a router should hold. */
export function grantTarget(
  {rate, totalRate, routers, ungranted, held, wantedElsewhere}: GrantDemand,
  options: Partial<GrantSizingOptions> = {},
): number {
  const {horizonSeconds, floorTokens, floorShare, dividedShare} = {
    ...defaultGrantSizingOptions,
    ...options,
  };
  const remaining = ungranted + held;
  const count = Math.max(1, routers);
  if (remaining === Infinity) return rate * horizonSeconds + floorTokens;
  const floor = Math.min(floorTokens, (remaining * floorShare) / count);
  // Of young rates one router may seem to have all the demand.
  const share = Math.min(
    totalRate > 0 ? rate / totalRate : 1 / count,
    mostShares / count,
  );
  const byRate = Math.min(
    rate * horizonSeconds,
    (remaining * dividedShare - floor * count) * share,
  );
  const target = floor + byRate;
  // Others wait for tokens that only routers hold: all give a part.
  const lack = Math.max(0, wantedElsewhere - ungranted);
  const kept = lack === 0 ? 1 : Math.max(0, 1 - lack / Math.max(1, held));
  return Math.floor(target * kept);
}
