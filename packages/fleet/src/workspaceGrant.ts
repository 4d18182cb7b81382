/**
 * @fileoverview The grant of one workspace at a router: its totals, its commitments,
 * and what these let the router spend. All amounts are in tokens.
 */
import {DecayingRate} from './decayingRate.js';
import {spendingLimit, type SpendingCommitment} from './spendingLimit.js';

/** State of one workspace's grant, in tokens. */
export interface Grant {
  granted: number;
  /** Tokens that other routers lent. */
  borrowed: number;
  /** Tokens that requests used. */
  used: number;
  /** Tokens that other routers borrowed. */
  lent: number;
  returned: number;
  /** Tokens reserved by open requests. */
  reserved: number;
  /** Tokens that waiting requests need. */
  wanted: number;
  /** Unspent tokens of the workspace over all routers, as last received. */
  remaining: number;
  /** Time at which the leader was asked for `remaining`. */
  remainingAt: number;
  /** Share of the cover that may be spent at the pace of demand. */
  pacedShare: number;
  /** Usual and recent demand, in tokens per second. */
  slowRate: DecayingRate;
  fastRate: DecayingRate;
  /** Whether it changed since the last report that makes a commitment. */
  isChanged: boolean;
  /** The newest commitment that is known to be recorded. */
  confirmed?: GrantCommitment;
  /** Later commitments that may or may not be recorded, the oldest first. */
  pending: GrantCommitment[];
}

/** A commitment for one workspace. Its time is running time. */
interface GrantCommitment extends SpendingCommitment {
  /** Time by the monotonic clock, which identifies it to the leader. */
  reportedAt: number;
  /** Total borrowed by then; later loans aren't limited by the commitment. */
  borrowed: number;
}

/** Time constant of the usual demand; long enough for rare large requests. */
const slowWindowMilliseconds = 12_000;

/** Time constant of the recent demand; short enough to follow a surge. */
const fastWindowMilliseconds = 3_000;

/** Tokens of a usual long prompt. */
const longPromptTokens = 9_000;

/** Part of a small grant that is committed in advance for a long prompt. */
const maxPromptShare = 0.5;

/** Returns the state of a workspace of which nothing was granted yet. */
export function createGrant(): Grant {
  return {
    granted: 0,
    borrowed: 0,
    used: 0,
    lent: 0,
    returned: 0,
    reserved: 0,
    wanted: 0,
    remaining: 0,
    remainingAt: -Infinity,
    pacedShare: 1,
    slowRate: new DecayingRate(slowWindowMilliseconds),
    fastRate: new DecayingRate(fastWindowMilliseconds),
    isChanged: true,
    pending: [],
  };
}

/**
 * Tokens to commit in advance: the demand until the next report is confirmed, or
 * at least a long prompt, which can't wait that long for a report of its own.
 */
export function tokensAhead(
  rate: number,
  unreserved: number,
  aheadMilliseconds: number,
): number {
  if (aheadMilliseconds <= 0) return 0;
  const prompt = Math.min(longPromptTokens, unreserved * maxPromptShare);
  return Math.floor(Math.max((rate * aheadMilliseconds) / 1_000, prompt));
}

/** Unspent tokens that are not reserved. */
export function available(grant: Grant): number {
  const {granted, borrowed, used, lent, returned, reserved} = grant;
  return granted + borrowed - used - lent - returned - reserved;
}

/**
 * Returns the most tokens that may be committed, whichever commitment is
 * recorded.
 *
 * @param now Running time in milliseconds.
 */
export function limitOf(
  {confirmed, pending, borrowed}: Grant,
  now: number,
): number {
  const limitBy = (commitment: GrantCommitment) =>
    spendingLimit(commitment, now) + borrowed - commitment.borrowed;
  // Before the first commitment nothing may be spent of the grant, as the
  // leader would return all of it to the total.
  const limit = confirmed === undefined ? borrowed : limitBy(confirmed);
  return Math.min(limit, ...pending.map(limitBy));
}
