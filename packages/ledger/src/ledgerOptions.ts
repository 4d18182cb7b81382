/** @fileoverview Options of the ledger. */

const hour = 60 * 60 * 1000;
const day = 24 * hour;

/** Options of the ledger; they must be equal on all replicas of a cluster. */
export interface LedgerOptions {
  /** Time for which the key and the bill of a settled request are kept. */
  requestRetentionMilliseconds: number;
  /**
   * Time for which a forgotten key is still recognized and refused as too
   * old.
   */
  forgottenKeyRetentionMilliseconds: number;
  /** Time for which change ids are kept. */
  changeRetentionMilliseconds: number;
  /** Allowance for clocks that run at different rates, as a percentage. */
  driftPercent: number;
  /** Constant part of the clock drift allowance. */
  driftMarginMilliseconds: number;
}

/** Default values of the ledger's options. */
export const defaultOptions: LedgerOptions = {
  requestRetentionMilliseconds: hour,
  forgottenKeyRetentionMilliseconds: 7 * day,
  changeRetentionMilliseconds: 30 * day,
  driftPercent: 10,
  driftMarginMilliseconds: 1000,
};
