/**
 * @fileoverview Delays by the timers of Node.js.
 */

/** Resolves after a delay. A pending delay doesn't keep the process alive. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, milliseconds).unref();
  });
}
