/**
 * @fileoverview The pace at which a router may spend a grant without being
 * heard of.
 *
 * A router may use a part of its grant at once and the rest the later the
 * longer its last recorded report is ago. So when its process dies and another
 * life starts on the same instance, the time between the two on the
 * instance's steady clock bounds what was spent unreported, and the rest of the
 * grant goes back.
 */

/** A router's word that it keeps to the pace from a time on. */
export interface SpendingCommitment {
  /** Time of the router's steady clock, in milliseconds. */
  at: number;
  /** Tokens that were spent, reserved or wanted by then. */
  committed: number;
  /** Unspent tokens that the pace follows. */
  cover: number;
}

/** Part of the cover that may be used at once: a second of the usual demand. */
const immediateShare = 0.1;

/**
 * Tokens of a small cover that may be used at once: a usual long prompt. Larger
 * ones are reported first, or borrowed. Every router has so many of each
 * workspace, and all of them are forfeited with the power of all routers.
 */
const immediateTokens = 9_000;

/** Part of a small cover that may be used at once. */
const immediateShareOfSmall = 0.5;

/** Time after which the whole cover may be used. */
const fullAfterMilliseconds = 4_000;

/**
 * Power of the time with which the part grows: hardly at all while reports are
 * due every 400 ms and an instance restarts, fast once a partition goes on.
 */
const growthPower = 4;

/** Most that may have been committed by a time under a promise. */
export function spendingLimit(promise: SpendingCommitment, at: number): number {
  const elapsed = Math.max(0, at - promise.at);
  const growth = (elapsed / fullAfterMilliseconds) ** growthPower;
  const share = Math.min(1, immediateShare + growth);
  const {committed, cover} = promise;
  const atOnce = Math.min(immediateTokens, cover * immediateShareOfSmall);
  return committed + Math.floor(Math.max(cover * share, atOnce));
}
