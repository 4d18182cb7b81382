/**
 * @fileoverview A promise with its resolve and reject functions.
 */

/** A promise with its resolve and reject functions. */
export interface Deferred<T> {
  promise: Promise<T>;
  resolve: (value: T) => void;
  reject: (error: unknown) => void;
}

/** Creates a deferred; its rejection never counts as unhandled. */
export function deferred<T>(): Deferred<T> {
  const result = {} as Deferred<T>;
  result.promise = new Promise<T>((resolve, reject) => {
    result.resolve = resolve;
    result.reject = reject;
  });
  result.promise.catch(() => undefined);
  return result;
}
