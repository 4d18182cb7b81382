/** @fileoverview Steady load that runs while a scenario does other things. */
import {setTimeout as sleep} from 'node:timers/promises';

import {type CallerResponse} from '../callers.js';

/** A load of calls at a fixed rate, each made whether others are done or not. */
export class LoadGenerator {
  private readonly pending: Array<Promise<CallerResponse>> = [];
  private stopped = false;
  private readonly loop: Promise<void>;

  /**
   * Starts the load.
   *
   * @param makeCall Makes the call of a number, from 0.
   */
  constructor(
    perSecond: number,
    makeCall: (number: number) => Promise<CallerResponse>,
  ) {
    this.loop = this.run(1000 / perSecond, makeCall);
  }

  /** Stops the load and returns the answers of all its calls. */
  async stop(): Promise<CallerResponse[]> {
    this.stopped = true;
    await this.loop;
    return Promise.all(this.pending);
  }

  private async run(
    pauseMilliseconds: number,
    makeCall: (number: number) => Promise<CallerResponse>,
  ): Promise<void> {
    for (let number = 0; !this.stopped; number++) {
      this.pending.push(makeCall(number));
      await sleep(pauseMilliseconds);
    }
  }
}
