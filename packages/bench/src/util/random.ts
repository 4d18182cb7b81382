/** @fileoverview Deterministic random numbers for reproducible runs. */

export {seededRandom} from '@dogwoodtrestle/testkit';

/** Samples the time to the next event of a Poisson process, in 1 / rate. */
export function exponential(rate: number, random: () => number): number {
  return -Math.log(1 - random()) / rate;
}

/** Samples an index with the given relative weights. */
export function weightedIndex(
  weights: readonly number[],
  random: () => number,
): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let left = random() * total;
  for (let index = 0; index < weights.length - 1; index += 1) {
    left -= weights[index]!;
    if (left < 0) return index;
  }
  return weights.length - 1;
}
