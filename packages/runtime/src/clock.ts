/**
 * @fileoverview Time as the daemon sees it, injected so that tests drive it.
 */

/** Monotonic time, wall time and timers. */
export interface Clock {
  /**
   * Monotonic time in milliseconds. It goes on when a process starts again on
   * the same machine.
   */
  now(): number;
  /** Wall time in milliseconds since the epoch. */
  wallNow(): number;
  /** Runs a callback once after a delay; the returned function cancels it. */
  setTimer(milliseconds: number, callback: () => void): () => void;
}

const nanosecondsPerMillisecond = 1e6;

/** Clock of the process. Its timers don't keep the process alive. */
export const systemClock: Clock = {
  now: () => Number(process.hrtime.bigint()) / nanosecondsPerMillisecond,
  wallNow: () => Date.now(),
  setTimer: (milliseconds, callback) => {
    const timer = setTimeout(callback, milliseconds);
    timer.unref();
    return () => clearTimeout(timer);
  },
};

/** Resolves after a delay. */
export function sleep(clock: Clock, milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    clock.setTimer(milliseconds, resolve);
  });
}
