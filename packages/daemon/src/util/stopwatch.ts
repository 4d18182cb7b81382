/**
 * @fileoverview Measurement of elapsed time that is never too short, even if
 * the process was paused or suspended meanwhile.
 */
import {type Clock} from '@dogwoodtrestle/runtime';

/**
 * Measures elapsed time as the larger of the monotonic and the wall time. The
 * monotonic clock may stop while the machine is suspended, and the wall clock
 * may be set back.
 */
export class Stopwatch {
  private readonly startedAt: number;
  private readonly wallStartedAt: number;

  /**
   * Starts measuring. To measure the age of a grant or lease, create the
   * stopwatch before sending the command that grants it.
   */
  constructor(private readonly clock: Clock) {
    this.startedAt = clock.now();
    this.wallStartedAt = clock.wallNow();
  }

  /** Elapsed time in milliseconds. */
  get elapsedMilliseconds(): number {
    const elapsed = this.clock.now() - this.startedAt;
    const wallElapsed = this.clock.wallNow() - this.wallStartedAt;
    return Math.max(elapsed, wallElapsed);
  }

  /** Whether at least the given time has elapsed. */
  hasElapsed(milliseconds: number): boolean {
    return this.elapsedMilliseconds >= milliseconds;
  }
}
