/** @fileoverview Percentages of amounts, exact for every safe integer. */

/**
 * Returns `percent` percent of an amount, rounded down.
 *
 * @param amount Micros; a negative amount counts as 0.
 */
export function percentOf(amount: number, percent: number): number {
  if (amount <= 0) return 0;
  const rest = amount % 100;
  // The product of a large amount and 100 would exceed the safe integers.
  return ((amount - rest) / 100) * percent + Math.floor((rest * percent) / 100);
}
