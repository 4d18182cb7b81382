/**
 * @fileoverview Majority arithmetic.
 */

/**
 * Returns the largest value that a majority has reached, or -Infinity if there
 * are no values.
 */
export function majorityValue(values: readonly number[]): number {
  const descending = [...values].sort((a, b) => b - a);
  return descending[Math.floor(values.length / 2)] ?? -Infinity;
}

/** Returns the number of votes that form a majority. */
export function majorityOf(voters: number): number {
  return Math.floor(voters / 2) + 1;
}
