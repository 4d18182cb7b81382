/**
 * @fileoverview How long the servers of a service take to their first event, and
 * how long a request should wait for one before it goes elsewhere.
 *
 * The time grows with the prompt and with the load, so the patience follows a
 * mean and a deviation, as retransmission timers do. A fixed limit leaves sound
 * engines that read long prompts, and reads these again elsewhere, which slows
 * all others down.
 */

export interface ResponseTimesOptions {
  /** Least patience. */
  minMilliseconds: number;
  /** Prompt tokens that double the expected time. */
  tokensToDouble: number;
  /** Deviations above the mean. */
  deviations: number;
}

export const defaultResponseTimesOptions: ResponseTimesOptions = {
  minMilliseconds: 1_000,
  // A usual prompt of the users' sheets; the time of a short one is mostly
  // that of the queue before it.
  tokensToDouble: 4_000,
  // As in RFC 6298.
  deviations: 4,
};

/** Weights of a new sample, as in RFC 6298. */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;

/** Least deviation, as a part of the mean: prompts differ by what is cached. */
const leastDeviation = 0.5;

/** Most by which a prompt stretches the patience before the first sample. */
const mostUnknownScale = 3;

/** Times to the first event of one service. */
export class ResponseTimes {
  private readonly options: ResponseTimesOptions;
  private mean?: number;
  private deviation = 0;

  constructor(options: Partial<ResponseTimesOptions> = {}) {
    this.options = {...defaultResponseTimesOptions, ...options};
  }

  /** Takes over the time of a request, or the time that it has waited. */
  observe(promptTokens: number, milliseconds: number): void {
    const sample = milliseconds / this.scale(promptTokens);
    if (this.mean === undefined) {
      this.mean = sample;
      this.deviation = sample / 2;
      return;
    }
    const error = Math.abs(sample - this.mean);
    this.deviation += deviationWeight * (error - this.deviation);
    this.mean += meanWeight * (sample - this.mean);
  }

  /** Time after which a request of a size should have had an event. */
  firstEventTimeout(promptTokens: number): number {
    const {minMilliseconds, deviations} = this.options;
    if (this.mean === undefined) {
      const scale = Math.min(this.scale(promptTokens), mostUnknownScale);
      return minMilliseconds * scale;
    }
    const deviation = Math.max(this.deviation, this.mean * leastDeviation);
    const usual = this.mean + deviations * deviation;
    return Math.max(minMilliseconds, usual * this.scale(promptTokens));
  }

  private scale(promptTokens: number): number {
    return 1 + promptTokens / this.options.tokensToDouble;
  }
}
