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
export interface PacePromise {
  /** Time of the router's steady clock, in milliseconds. */
  at: number;
  /** Tokens that were spent, reserved or wanted by then. */
  committed: number;
  /** Unspent tokens that the pace follows. */
  cover: number;
}

/** Part of the cover that may be used at once. */
const immediateShare = 0.25;

/** Tokens that may be used at once in any case: one long prompt. */
const immediateTokens = 16_000;

/** Time after which the whole cover may be used. */
const fullAfterMilliseconds = 4_500;

/** Most that may have been committed by a time under a promise. */
export function paceLimit(promise: PacePromise, at: number): number {
  const elapsed = Math.max(0, at - promise.at);
  const growth = (elapsed / fullAfterMilliseconds) ** 2;
  const share = Math.min(1, immediateShare + growth);
  const allowed = Math.max(promise.cover * share, immediateTokens);
  return promise.committed + Math.floor(Math.min(promise.cover, allowed));
}
