/**
 * @fileoverview Runs an asynchronous task periodically.
 */
import {type Clock} from './clock.js';
import {type Logger} from './logger.js';

/** Options of a periodic task. */
export interface PeriodicTaskOptions {
  /** Names the task in log lines. */
  name: string;
  clock: Clock;
  logger: Logger;
  intervalMilliseconds: number;
  /** Fraction of the interval by which each delay varies, from 0 to 1. */
  jitter?: number;
  run: () => Promise<void>;
}

/**
 * Runs a task with a fixed delay between the end of one run and the start of
 * the next, so runs never overlap. A run that rejects is logged, and the task
 * goes on.
 */
export class PeriodicTask {
  private cancel: (() => void) | undefined;
  private running: Promise<void> | undefined;
  private stopped = true;

  constructor(private readonly options: PeriodicTaskOptions) {}

  /** Starts the task; it first runs after one interval. */
  start(): void {
    if (!this.stopped) return;
    this.stopped = false;
    this.schedule();
  }

  /** Stops the task and waits for a run in progress. */
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
      this.running = this.runOnce();
    });
  }

  private async runOnce(): Promise<void> {
    const {logger, name, run} = this.options;
    try {
      await run();
    } catch (error) {
      logger.warn({err: error, task: name}, 'periodic task failed');
    }
    this.schedule();
  }
}
