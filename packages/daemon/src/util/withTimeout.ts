/**
 * @fileoverview Timeout for promises.
 */
import {BaseError, type ErrorClass} from './baseError.js';
import {type Clock} from '@dogwoodtrestle/runtime';

/** A promise wasn't settled within its timeout. */
export const TimeoutError: ErrorClass = BaseError.subclass('TimeoutError');

/**
 * Settles as the given promise does, or rejects with `TimeoutError` if it
 * isn't settled in time.
 */
export function withTimeout<T>(
  promise: Promise<T>,
  milliseconds: number,
  clock: Clock,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const cancel = clock.setTimer(milliseconds, () =>
      reject(new TimeoutError(`no answer within ${milliseconds} ms`)),
    );
    promise.then(resolve, reject).finally(cancel);
  });
}
