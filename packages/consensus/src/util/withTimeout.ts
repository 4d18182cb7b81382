/**
 * @fileoverview Limits the time to wait for a promise.
 */
import {type Clock} from '../clock.js';

/** Rejects if the promise is not settled within a time in milliseconds. */
export function withTimeout<T>(
  promise: Promise<T>,
  milliseconds: number,
  clock: Clock,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const cancel = clock.setTimer(milliseconds, () =>
      reject(new Error(`no reply within ${milliseconds} ms`)),
    );
    promise.then(resolve, reject).finally(cancel);
  });
}
