/**
 * @fileoverview Clock and timers, injected so that tests can control them.
 */

/** Monotonic time, wall time and timers. */
export interface Clock {
  /**
   * Monotonic time in milliseconds. It continues across restarts of a process
   * on the same machine, until the machine reboots.
   */
  now(): number;
  /** Wall time in milliseconds since the epoch. */
  wallNow(): number;
  /** Runs a callback once after a delay; the returned function cancels it. */
  setTimer(milliseconds: number, callback: () => void): () => void;
}

const nanosecondsPerMillisecond = 1e6;

/** System clock. Its timers don't keep the process alive. */
export const systemClock: Clock = {
  now: () => Number(process.hrtime.bigint()) / nanosecondsPerMillisecond,
  wallNow: () => Date.now(),
  setTimer: (milliseconds, callback) => {
    const timer = setTimeout(callback, milliseconds);
    timer.unref();
    return () => clearTimeout(timer);
  },
};

/** Resolves after a delay, in milliseconds. */
export function sleep(clock: Clock, milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    clock.setTimer(milliseconds, resolve);
  });
}
