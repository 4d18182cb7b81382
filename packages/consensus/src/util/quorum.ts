/**
 * @fileoverview Majority arithmetic.
 */

/**
 * Returns the largest value that a majority has reached, or -Infinity without
 * voters.
 */
export function majorityValue(values: readonly number[]): number {
  const descending = [...values].sort((a, b) => b - a);
  return descending[Math.floor(values.length / 2)] ?? -Infinity;
}

/** Number of votes that make a majority. */
export function majorityOf(voters: number): number {
  return Math.floor(voters / 2) + 1;
}
