/** @fileoverview A part of a customer's balance that an instance may spend. */

/** A grant that has not been returned; amounts in micros. */
export interface Grant {
  grantId: string;
  customer: string;
  /** Instance that spends the grant. */
  holder: string;
  /** Instance whose disk holds the journal. */
  journal: string;
  amount: number;
  billed: number;
  contractVersion: number;
  /** Ledger time after which the holder can't spend it. */
  until: number;
  /** Every journal record up to this sequence has been merged. */
  mergedThrough: number;
  /** Merged sequences beyond `mergedThrough`. */
  mergedBeyond: Set<number>;
  /** What is left for workspaces whose share is below 100 percent. */
  allowances: Map<string, number>;
}

/** Amount that has not been billed yet. */
export function remainingAmount(grant: Grant): number {
  return grant.amount - grant.billed;
}

/** Returns whether a journal record has been merged before. */
export function isMerged(grant: Grant, sequence: number): boolean {
  return sequence <= grant.mergedThrough || grant.mergedBeyond.has(sequence);
}

/** Remembers that a journal record has been merged. */
export function markMerged(grant: Grant, sequence: number): void {
  grant.mergedBeyond.add(sequence);
  while (grant.mergedBeyond.delete(grant.mergedThrough + 1)) {
    grant.mergedThrough++;
  }
}
