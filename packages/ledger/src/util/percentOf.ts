/** @fileoverview Percentages of amounts, exact for all safe integers. */

/**
 * Returns `percent` percent of an amount, rounded down.
 *
 * @param amount Amount in micros; a negative amount counts as 0.
 */
export function percentOf(amount: number, percent: number): number {
  if (amount <= 0) return 0;
  const rest = amount % 100;
  // Multiplying a large amount first would exceed the safe integers.
  return ((amount - rest) / 100) * percent + Math.floor((rest * percent) / 100);
}
