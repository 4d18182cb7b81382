/**
 * @fileoverview Limits how much of its grant a router may spend since its last
 * recorded report.
 *
 * A router may spend a part of its grant at once; the rest becomes spendable
 * over the time since its last recorded report. So when its process dies and
 * another incarnation starts on the same instance, the time between the two by
 * the instance's monotonic clock bounds what was spent unreported, and the rest
 * of the grant is returned to the prepaid total.
 */

/** A router's commitment to stay within the spending limit from a time on. */
export interface SpendingCommitment {
  /** Time by the router's monotonic clock, in milliseconds. */
  at: number;
  /** Tokens that were used, lent, reserved or wanted by then. */
  committed: number;
  /** Unspent tokens that become spendable over time. */
  cover: number;
}

/** Part of the cover that may be used at once: a second of the usual demand. */
const immediateShare = 0.1;

/**
 * Tokens of a small cover that may be used at once: a usual long prompt. Larger
 * prompts are reported first, or use borrowed tokens. Each router may spend this
 * many unreported tokens of each workspace, and all of them are forfeited when
 * all routers lose power.
 */
const immediateTokens = 9_000;

/** Part of a small cover that may be used at once. */
const immediateShareOfSmall = 0.5;

/** Time after which the whole cover may be used. */
const fullAfterMilliseconds = 4_000;

/**
 * Exponent of the elapsed time with which the spendable part grows. It hardly
 * grows between reports, which are sent every 400 ms, or while an instance
 * restarts, and quickly during a longer partition.
 */
const growthPower = 4;

/**
 * Returns the most tokens that may be committed (used, lent, reserved or wanted)
 * by a time under a commitment.
 *
 * @param at Time by the same clock as `commitment.at`, in milliseconds.
 */
export function spendingLimit(
  commitment: SpendingCommitment,
  at: number,
): number {
  const elapsed = Math.max(0, at - commitment.at);
  const growth = (elapsed / fullAfterMilliseconds) ** growthPower;
  const share = Math.min(1, immediateShare + growth);
  const {committed, cover} = commitment;
  const atOnce = Math.min(immediateTokens, cover * immediateShareOfSmall);
  return committed + Math.floor(Math.max(cover * share, atOnce));
}
