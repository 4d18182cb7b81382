/** @fileoverview Generates calls at a fixed rate in the background. */
import {setTimeout as sleep} from 'node:timers/promises';

import {type CallerResponse} from '../callers.js';

/** Makes calls at a fixed rate without waiting for earlier ones to finish. */
export class LoadGenerator {
  private readonly pending: Array<Promise<CallerResponse>> = [];
  private stopped = false;
  private readonly loop: Promise<void>;

  /**
   * Starts the load.
   *
   * @param makeCall Makes the call with the given number, counted from 0.
   */
  constructor(
    perSecond: number,
    makeCall: (number: number) => Promise<CallerResponse>,
  ) {
    this.loop = this.run(1000 / perSecond, makeCall);
  }

  /** Stops the load and returns the responses of all calls. */
  async stop(): Promise<CallerResponse[]> {
    this.stopped = true;
    await this.loop;
    return Promise.all(this.pending);
  }

  private async run(
    intervalMilliseconds: number,
    makeCall: (number: number) => Promise<CallerResponse>,
  ): Promise<void> {
    for (let number = 0; !this.stopped; number++) {
      this.pending.push(makeCall(number));
      await sleep(intervalMilliseconds);
    }
  }
}
