/**
 * @fileoverview Collects the events of all streams while the router is busy, and
 * lets all of them be read at common times.
 *
 * One timer serves all streams, so that a router with hundreds of streams wakes up
 * once for all of them.
 */
import {coalescingDelay} from '@dogwoodtrestle/fleet';
import {
  type Clock,
  type Counter,
  type MetricsRegistry,
} from '@dogwoodtrestle/runtime';

/** Options of a coalescer. */
export interface EventCoalescerOptions {
  clock: Clock;
  metrics: MetricsRegistry;
  /** Longest delay of an event, in milliseconds; 0 for none. */
  maxDelayMilliseconds: number;
  /** Returns the utilization of the processor, 0 to 1. */
  utilization: () => number;
}

/** Common times at which streams are read. */
export class EventCoalescer {
  private readonly delayed: Counter;
  private waiting: Array<() => void> = [];

  constructor(private readonly options: EventCoalescerOptions) {
    this.delayed = options.metrics.counter(
      'dogwoodtrestle_coalesced_reads_total',
      'Reads of streams that were delayed while the router was busy.',
    );
  }

  /**
   * Calls `resume` at the next common time.
   *
   * @returns False if the router isn't busy, and `resume` is not called.
   */
  defer(resume: () => void): boolean {
    const {clock, maxDelayMilliseconds, utilization} = this.options;
    const delay = coalescingDelay(utilization(), maxDelayMilliseconds);
    if (delay === 0) return false;
    if (this.waiting.length === 0) {
      clock.setTimer(delay, () => this.resumeAll());
    }
    this.waiting.push(resume);
    this.delayed.add({});
    return true;
  }

  private resumeAll(): void {
    const {waiting} = this;
    this.waiting = [];
    for (const resume of waiting) resume();
  }
}
