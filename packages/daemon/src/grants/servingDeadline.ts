/**
 * @fileoverview Deadline of a grant, as its holder counts it.
 */
import {type Clock} from '../util/clock.js';

/**
 * Time during which a grant may be spent.
 *
 * It counts from before the command was sent, by the larger of the monotonic
 * and the wall time that has passed: the monotonic clock may stand still while
 * a machine is suspended, and the wall clock may be set back.
 */
export class ServingDeadline {
  private readonly startedAt: number;
  private readonly wallStartedAt: number;

  /** Make it before the command is sent. */
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

  isOver(servingMilliseconds: number): boolean {
    return this.elapsedMilliseconds >= servingMilliseconds;
  }
}
