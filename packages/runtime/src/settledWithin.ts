/**
 * @fileoverview Waits for a call for a limited time without ending it, so that
 * a late reply still counts.
 */
import {type Clock} from './clock.js';

/**
 * Resolves to whether a promise was settled within a time. The promise goes on;
 * its rejection is the owner's to handle.
 */
export async function settledWithin(
  clock: Clock,
  promise: Promise<unknown>,
  milliseconds: number,
): Promise<boolean> {
  return new Promise(resolve => {
    const cancel = clock.setTimer(milliseconds, () => resolve(false));
    const settle = () => {
      cancel();
      resolve(true);
    };
    promise.then(settle, settle);
  });
}
