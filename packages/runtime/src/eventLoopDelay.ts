/**
 * @fileoverview Delay of the event loop: by how much a periodic timer is late.
 * While it is, the process sends no heartbeats and handles no calls.
 */
import {type Clock} from './clock.js';
import {type Histogram, type MetricsRegistry} from './metricsRegistry.js';

/** Interval of the timer. */
const sampleIntervalMilliseconds = 100;

/** Samples the delay. */
export class EventLoopDelay {
  private readonly delays: Histogram;
  private longest = 0;
  private cancel: () => void = () => undefined;

  constructor(
    private readonly clock: Clock,
    metrics: MetricsRegistry,
  ) {
    this.delays = metrics.histogram(
      'dogwoodtrestle_event_loop_delay_milliseconds',
      'Time by which a periodic timer was late.',
    );
  }

  /** Starts to sample. */
  start(): void {
    const {clock} = this;
    const dueAt = clock.now() + sampleIntervalMilliseconds;
    this.cancel = clock.setTimer(sampleIntervalMilliseconds, () => {
      const delay = Math.max(0, clock.now() - dueAt);
      this.delays.observe(delay);
      this.longest = Math.max(this.longest, delay);
      this.start();
    });
  }

  /** Stops sampling. */
  stop(): void {
    this.cancel();
  }

  /** Returns the longest delay since the last call, in milliseconds. */
  takeLongest(): number {
    const {longest} = this;
    this.longest = 0;
    return longest;
  }
}
