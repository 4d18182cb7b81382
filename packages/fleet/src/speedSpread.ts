/**
 * @fileoverview Tells whether the servers of a service differ in speed.
 *
 * Load pattern: engines of one model and kind of machine answer at one speed until
 * some of them are overloaded or fail for a while. Weighing such differences moves
 * shared prefixes between servers, which then read them again. Servers of several
 * kinds of machine differ for good, and the faster ones should get more.
 */

/** Whether the servers of a service differ in speed. */
export type SpeedSpread = 'even' | 'uneven';

/** Options of the decision. */
export interface SpeedSpreadOptions {
  /** Part of the servers left out at either end: single ones may be in trouble. */
  ignoredShare: number;
  /** Ratio of the highest to the lowest capacity from which servers are uneven. */
  unevenRatio: number;
  /** Ratio below which they are even again. */
  evenRatio: number;
}

/** Default options. */
export const defaultSpeedSpreadOptions: SpeedSpreadOptions = {
  ignoredShare: 0.2,
  unevenRatio: 1.5,
  evenRatio: 1.25,
};

/**
 * Returns whether capacities differ.
 *
 * @param previous The last result for the same servers; changes with a margin.
 */
export function spreadOf(
  capacities: readonly number[],
  previous: SpeedSpread = 'even',
  options: Partial<SpeedSpreadOptions> = {},
): SpeedSpread {
  const {ignoredShare, unevenRatio, evenRatio} = {
    ...defaultSpeedSpreadOptions,
    ...options,
  };
  const sorted = [...capacities].sort((a, b) => a - b);
  const ignored = Math.floor(sorted.length * ignoredShare);
  const lowest = sorted[ignored];
  const highest = sorted[sorted.length - 1 - ignored];
  if (lowest === undefined || highest === undefined) return 'even';
  const limit = previous === 'even' ? unevenRatio : evenRatio;
  return highest / lowest >= limit ? 'uneven' : 'even';
}
