/**
 * @fileoverview Runs an asynchronous task again and again.
 */
import {type Clock} from './clock.js';
import {type Logger} from './logger.js';

/** What a periodic task needs. */
export interface PeriodicTaskOptions {
  name: string;
  clock: Clock;
  logger: Logger;
  intervalMilliseconds: number;
  /** Part of the interval by which each round varies, from 0 to 1. */
  jitter?: number;
  run: () => Promise<void>;
}

/**
 * Runs a task with a pause between the end of one round and the start of the
 * next, so that a slow round never overlaps with another. A round that
 * rejects is logged, and the next one follows.
 */
export class PeriodicTask {
  private cancel: (() => void) | undefined;
  private running: Promise<void> | undefined;
  private stopped = true;

  constructor(private readonly options: PeriodicTaskOptions) {}

  /** Starts the rounds; the first one runs after one interval. */
  start(): void {
    if (!this.stopped) return;
    this.stopped = false;
    this.schedule();
  }

  /** Ends the rounds and waits for the one in progress. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.cancel?.();
    await this.running;
  }

  private schedule(): void {
    if (this.stopped) return;
    const {clock, intervalMilliseconds, jitter = 0} = this.options;
    const variation = 1 + jitter * (Math.random() * 2 - 1);
    this.cancel = clock.setTimer(intervalMilliseconds * variation, () => {
      this.running = this.round();
    });
  }

  private async round(): Promise<void> {
    const {logger, name, run} = this.options;
    try {
      await run();
    } catch (error) {
      logger.warn({err: error, task: name}, 'periodic task failed');
    }
    this.schedule();
  }
}
