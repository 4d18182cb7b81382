/** @fileoverview Deterministic random numbers for repeatable runs. */

/** Mulberry32: numbers uniform in [0, 1), the same for the same seed. */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Time to the next event of a Poisson process, in units of 1 / rate. */
export function exponential(rate: number, random: () => number): number {
  return -Math.log(1 - random()) / rate;
}

/** Index drawn with the given relative weights. */
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
