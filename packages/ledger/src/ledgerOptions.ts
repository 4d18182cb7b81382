/** @fileoverview Options of the ledger. */

const hour = 60 * 60 * 1000;
const day = 24 * hour;

/** Options of the ledger. All replicas of one cluster must use the same. */
export interface LedgerOptions {
  /** Ledger time for which a settled request's key and bill are kept. */
  requestRetentionMilliseconds: number;
  /**
   * Ledger time for which a forgotten key is still known to have been used,
   * and refused as too old.
   */
  forgottenKeyRetentionMilliseconds: number;
  /** Ledger time for which change ids are kept. */
  changeRetentionMilliseconds: number;
  /** Allowance for clocks that run at different speeds, as a percentage. */
  driftPercent: number;
  /** Constant part of the allowance for clocks. */
  driftMarginMilliseconds: number;
}

export const defaultOptions: LedgerOptions = {
  requestRetentionMilliseconds: hour,
  forgottenKeyRetentionMilliseconds: 7 * day,
  changeRetentionMilliseconds: 30 * day,
  driftPercent: 10,
  driftMarginMilliseconds: 1000,
};
