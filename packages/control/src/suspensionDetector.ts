/**
 * @fileoverview Detects that the machine was suspended: the monotonic clock stops
 * meanwhile, and the wall clock goes on. A step of the wall clock looks the same.
 */
import {type Clock} from '@dogwoodtrestle/runtime';

/** Difference between the clocks above which the machine counts as suspended. */
const maxDriftMilliseconds = 50;

/** Compares the clocks each time that it is asked. */
export class SuspensionDetector {
  private offset: number;
  private detectedAt = -Infinity;

  constructor(private readonly clock: Pick<Clock, 'now' | 'wallNow'>) {
    this.offset = clock.wallNow() - clock.now();
  }

  /**
   * Returns the monotonic time at which the end of the last suspension was
   * detected, in milliseconds; minus infinity before the first.
   */
  resumedAt(): number {
    const now = this.clock.now();
    const offset = this.clock.wallNow() - now;
    if (Math.abs(offset - this.offset) > maxDriftMilliseconds) {
      this.detectedAt = now;
      this.offset = offset;
    }
    return this.detectedAt;
  }
}
