/**
 * @fileoverview Computes how many of a workspace's prepaid tokens a router
 * should hold.
 *
 * All routers together hold what the workspace uses during the longest expected
 * partition. Each router holds a short time of its own demand; the rest is held
 * by the workspace's holders, which lend it to the others. If the demand enters
 * at few routers, these hold a part of the rest themselves: the link of such a
 * router may be too busy for loans. Tokens held by a router are lost when its
 * instance loses power, so no more than that is granted. Demand is summed over all routers before it is projected, as a single
 * router receives too few large requests for an estimate.
 */

/** Input of the decision. Rates are in tokens per second. */
export interface GrantDemand {
  /** Usual demand at this router. */
  rate: number;
  /** Usual demand at all routers of the workspace. */
  totalRate: number;
  /** Demand of the last few seconds at all routers of the workspace. */
  recentTotalRate: number;
  /** From 0, if the demand enters evenly, to 1 if it does at one router. */
  concentration: number;
  /** Whether this router is one of the workspace's holders. */
  isHolder: boolean;
  /** Number of holders of the workspace. */
  holders: number;
  /** Tokens that are not granted to any router. */
  ungranted: number;
  /** Unspent tokens that live routers hold. */
  held: number;
}

/** The tokens of one workspace. */
export type SharedDemand = Pick<
  GrantDemand,
  'totalRate' | 'recentTotalRate' | 'ungranted' | 'held'
>;

/** Use of tokens by requests at all routers, in tokens per second. */
export interface TokenUse {
  rate: number;
  recentRate: number;
}

/** Parameters of the decision. */
export interface GrantSizingOptions {
  /** Seconds of the total demand that all routers hold together. */
  horizonSeconds: number;
  /** Seconds of its own demand that each router holds. */
  ownSeconds: number;
  /** Largest part of the rest that is held where the demand enters. */
  maxEntryShare: number;
  /** Factor of the recent demand, which varies by chance. */
  recentShare: number;
  /** Largest part of the unspent tokens that all routers hold together. */
  dividedShare: number;
  /** Largest part of the total that may be spent at the pace of demand. */
  maxPacedShare: number;
}

/** Default parameters. */
export const defaultGrantSizingOptions: GrantSizingOptions = {
  // The users' longest partition takes 9 s; the rest allows for demand that rises
  // during it.
  horizonSeconds: 11.5,
  // Covers the time until a loan is arranged.
  ownSeconds: 1,
  maxEntryShare: 0.5,
  recentShare: 0.85,
  dividedShare: 0.97,
  maxPacedShare: 0.25,
};

/**
 * Returns the share of the unspent tokens at routers that may be spent at the pace
 * of demand in the first seconds without a leader, so that these are a bounded part
 * of the total: all of them are forfeited if power was lost instead.
 *
 * @param prepaid The prepaid total in tokens; Infinity where it is unlimited.
 */
export function pacedShareOf(
  demand: SharedDemand & {use?: TokenUse},
  prepaid: number,
  options: Partial<GrantSizingOptions> = {},
): number {
  const settings = {...defaultGrantSizingOptions, ...options};
  const {shared} = sharedTokens(demand, settings);
  const {horizonSeconds, recentShare, maxPacedShare} = settings;
  const {rate = Infinity, recentRate = Infinity} = demand.use ?? {};
  const used = Math.max(rate, recentShare * recentRate) * horizonSeconds;
  const maxPaced = Math.min(maxPacedShare * prepaid, used);
  return shared <= maxPaced ? 1 : maxPaced / shared;
}

/** Returns what routers should hold together, and what they want to hold. */
function sharedTokens(
  {totalRate, recentTotalRate, ungranted, held}: SharedDemand,
  settings: GrantSizingOptions,
): {expected: number; wanted: number; shared: number} {
  const {horizonSeconds, recentShare, dividedShare} = settings;
  const expected = Math.max(totalRate, recentShare * recentTotalRate);
  const wanted = expected * horizonSeconds;
  const shared = Math.min(wanted, dividedShare * (ungranted + held));
  return {expected, wanted, shared};
}

/** Returns the number of unspent tokens that a router should hold. */
export function grantTarget(
  demand: GrantDemand,
  options: Partial<GrantSizingOptions> = {},
): number {
  const {rate, totalRate, concentration, isHolder, holders} = demand;
  const settings = {...defaultGrantSizingOptions, ...options};
  const {ownSeconds} = settings;
  const {expected, wanted, shared} = sharedTokens(demand, settings);
  // When tokens are scarce, holders get a larger part of them, since small
  // remainders at many routers cover no request.
  const sufficiency = wanted > 0 ? shared / wanted : 1;
  const ownTotal = expected * ownSeconds * sufficiency ** 2;
  const share = totalRate > 0 ? rate / totalRate : 0;
  const rest = Math.max(0, shared - ownTotal);
  const entryShare = Math.min(settings.maxEntryShare, concentration);
  const atEntry = rest * entryShare * sufficiency ** 2;
  const pooled = rest - atEntry;
  const held = isHolder ? pooled / Math.max(1, holders) : 0;
  return Math.floor((ownTotal + atEntry) * share + held);
}
