/**
 * @fileoverview Bounds the time that a promise may take.
 */
import {type Clock} from '../clock.js';

/** Rejects when the promise isn't settled after a time in milliseconds. */
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
