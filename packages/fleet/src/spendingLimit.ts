/**
 * @fileoverview Limits how much of its grant a router may spend since its last
 * recorded report.
 *
 * A router may spend its grant at the pace of the expected demand, and all of it
 * a few seconds after its last recorded report, as in a partition. So when its
 * process dies and another incarnation starts on the same instance, the time
 * between the two bounds what was spent unreported, and the rest of the grant is
 * returned to the prepaid total. A request that the pace forbids is reported to
 * the leader before it is sent.
 */

/** A router's commitment to stay within the spending limit from a time on. */
export interface SpendingCommitment {
  /** Time by the router's monotonic clock, in milliseconds. */
  at: number;
  /** Tokens that were used, lent, reserved or wanted by then. */
  committed: number;
  /** Unspent tokens that become spendable over time. */
  cover: number;
  /** Those of them that become spendable at the pace of demand. */
  paced: number;
}

/** Part of the paced tokens that may be spent at once. */
const immediateShare = 0.03;

/**
 * Part of the expected demand that the paced tokens allow in each second. The
 * immediate part and loans make up for the rest until the whole cover is free.
 */
const paceShare = 0.85;

/** Part of the paced tokens that may be spent before the whole cover gets free. */
const maxPacedPart = 0.185;

/** Time for which a cover lasts at the expected demand; see `grantSizing`. */
const coverMilliseconds = 11_500;

/**
 * Time after which the whole cover may be spent. Losses of power that are over
 * sooner forfeit little more than the paced tokens.
 */
const fullAfterMilliseconds = 3_600;

/** Exponent of the elapsed time with which the rest of the cover gets free. */
const growthPower = 12;

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
  const {committed, cover, paced} = commitment;
  const pace = immediateShare + (paceShare * elapsed) / coverMilliseconds;
  const part = Math.min(maxPacedPart, pace);
  const growth = (elapsed / fullAfterMilliseconds) ** growthPower;
  return committed + Math.floor(Math.min(cover, paced * part + cover * growth));
}
