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
  /** Part of the unspent tokens that is divided by rate at the most. */
  dividedShare: number;
}

export const defaultGrantSizingOptions: GrantSizingOptions = {
  // Longest partition of the users' days, 9 s, and a rise of the demand in it.
  horizonSeconds: 12,
  // A long prompt and its answer on the users' sheets, one and a half times.
  floorTokens: 20_000,
  floorShare: 0.25,
  dividedShare: 0.9,
};

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
  const share = totalRate > 0 ? rate / totalRate : 1 / count;
  const byRate = Math.min(
    rate * horizonSeconds,
    remaining * (dividedShare - floorShare) * share,
  );
  const target = floor + byRate;
  // Others wait for tokens that only routers hold: all give a part.
  const lack = Math.max(0, wantedElsewhere - ungranted);
  const kept = lack === 0 ? 1 : Math.max(0, 1 - lack / Math.max(1, held));
  return Math.floor(target * kept);
}
