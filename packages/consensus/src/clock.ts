/**
 * @fileoverview Monotonic time and timers, passed in so that tests control them.
 */
import {performance} from 'node:perf_hooks';

/** Source of monotonic time. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  now(): number;
  /** Calls back once after a delay in milliseconds; returns the cancellation. */
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
