/**
 * @fileoverview Waiting by the process's own clock.
 */

/** Resolves after a time. A pending pause doesn't keep the process alive. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, milliseconds).unref();
  });
}
