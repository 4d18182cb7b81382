/**
 * @fileoverview Bounds the time that a promise is waited for.
 */
import {BaseError, type ErrorClass} from './baseError.js';
import {type Clock} from '@dogwoodtrestle/runtime';

/** A promise wasn't settled in time. */
export const TimeoutError: ErrorClass = BaseError.subclass('TimeoutError');

/** Rejects with `TimeoutError` if the promise isn't settled in time. */
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
