/** @fileoverview A clock whose time passes as fast as its timers allow. */
import {type Clock} from '@dogwoodtrestle/runtime';

/** A clock that tests run. */
export interface VirtualClock extends Clock {
  /** Runs all timers up to a time, in milliseconds. */
  runUntil(end: number): Promise<void>;
}

/** Creates a clock that starts at 1 s. Timers have a resolution of 1 ms. */
export function createVirtualClock(): VirtualClock {
  let now = 1_000;
  const timers = new Map<number, Set<() => void>>();
  const runDue = async () => {
    const due = timers.get(now);
    timers.delete(now);
    if (due === undefined) return;
    for (const run of [...due]) {
      if (due.delete(run)) run();
    }
    // Lets all promises that the timers resolved have their effects.
    await new Promise(resolve => setImmediate(resolve));
  };
  return {
    now: () => now,
    wallNow: () => now,
    setTimer: (milliseconds, run) => {
      const at = now + Math.max(1, Math.round(milliseconds));
      const due = timers.get(at) ?? new Set();
      timers.set(at, due);
      // Callbacks may be the same function, so each timer has one of its own.
      const callback = () => run();
      due.add(callback);
      return () => due.delete(callback);
    },
    runUntil: async end => {
      while (now < end) {
        now++;
        await runDue();
      }
    },
  };
}
