/** @fileoverview Grant of a part of a customer's balance to an instance. */

/** Grant that has not been returned; amounts in micros. */
export interface Grant {
  grantId: string;
  customer: string;
  /** Instance that spends the grant. */
  holder: string;
  /** Instance that stores the grant's journal. */
  journal: string;
  amount: number;
  billed: number;
  contractVersion: number;
  /** Ledger time after which the holder can no longer spend the grant. */
  until: number;
  /** All journal records up to this sequence number have been merged. */
  mergedThrough: number;
  /** Merged sequence numbers above `mergedThrough`. */
  mergedBeyond: Set<number>;
  /** Remaining amounts of workspaces whose share is below 100 percent. */
  allowances: Map<string, number>;
}

/** Returns the amount of a grant that has not been billed. */
export function remainingAmount(grant: Grant): number {
  return grant.amount - grant.billed;
}

/** Returns whether a journal record has already been merged. */
export function isMerged(grant: Grant, sequence: number): boolean {
  return sequence <= grant.mergedThrough || grant.mergedBeyond.has(sequence);
}

/** Marks a journal record as merged. */
export function markMerged(grant: Grant, sequence: number): void {
  grant.mergedBeyond.add(sequence);
  while (grant.mergedBeyond.delete(grant.mergedThrough + 1)) {
    grant.mergedThrough++;
  }
}
