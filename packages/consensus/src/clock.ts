/**
 * @fileoverview Monotonic time and timers; tests inject their own clock.
 */
import {performance} from 'node:perf_hooks';

/** Monotonic clock with timers. */
export interface Clock {
  /** Returns milliseconds since an arbitrary start; never decreases. */
  now(): number;
  /**
   * Calls back once after a delay; returns a function that cancels the timer.
   */
  setTimer(milliseconds: number, callback: () => void): () => void;
}

/** The clock of the operating system. */
export const systemClock: Clock = {
  now: () => performance.now(),
  setTimer(milliseconds, callback) {
    const timer = setTimeout(callback, milliseconds);
    return () => clearTimeout(timer);
  },
};
