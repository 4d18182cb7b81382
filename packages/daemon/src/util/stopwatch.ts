/**
 * @fileoverview Time that has passed, counted so that a process which was
 * frozen or suspended never takes it for shorter than it was.
 */
import {type Clock} from '@dogwoodtrestle/runtime';

/**
 * Counts by the larger of the monotonic and the wall time: the monotonic clock
 * may stand still while a machine is suspended, and the wall clock may be set
 * back.
 */
export class Stopwatch {
  private readonly startedAt: number;
  private readonly wallStartedAt: number;

  /** Starts to count; make it before the command is sent that grants time. */
  constructor(private readonly clock: Clock) {
    this.startedAt = clock.now();
    this.wallStartedAt = clock.wallNow();
  }

  /** Time that has passed, in milliseconds. */
  get elapsedMilliseconds(): number {
    const elapsed = this.clock.now() - this.startedAt;
    const wallElapsed = this.clock.wallNow() - this.wallStartedAt;
    return Math.max(elapsed, wallElapsed);
  }

  /** Whether so much time has passed. */
  hasElapsed(milliseconds: number): boolean {
    return this.elapsedMilliseconds >= milliseconds;
  }
}
