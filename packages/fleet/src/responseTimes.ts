/**
 * @fileoverview Estimates the time that servers of a service take to send their
 * first event, and the timeout after which a request is retried elsewhere.
 *
 * The time grows with the prompt and with the load, so the timeout follows a mean
 * and a deviation, like the retransmission timers of RFC 6298. With a fixed
 * timeout, long prompts would be abandoned at healthy engines and read again by
 * others, which slows down all requests.
 */

/** Options of the estimate. */
export interface ResponseTimesOptions {
  /** Least timeout. */
  minMilliseconds: number;
  /** Number of prompt tokens that doubles the expected time. */
  tokensToDouble: number;
  /** Number of deviations by which the timeout exceeds the mean. */
  deviations: number;
}

/** Default options. */
export const defaultResponseTimesOptions: ResponseTimesOptions = {
  minMilliseconds: 1_000,
  // A typical prompt in the users' sheets. The time of a short prompt is
  // mostly that of the queue.
  tokensToDouble: 4_000,
  // As in RFC 6298.
  deviations: 4,
};

/** Weights of a new sample, as in RFC 6298. */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;

/**
 * Least deviation as a part of the mean, since prompts differ in how much of them
 * is cached.
 */
const minDeviation = 0.5;

/** Largest factor of the least timeout before the first sample. */
const maxInitialScale = 3;

/** Times to the first event at one service. */
export class ResponseTimes {
  private readonly options: ResponseTimesOptions;
  private mean?: number;
  private deviation = 0;

  constructor(options: Partial<ResponseTimesOptions> = {}) {
    this.options = {...defaultResponseTimesOptions, ...options};
  }

  /** Adds the time that a request took, or has waited so far. */
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

  /** Returns the usual time to the first event; undefined before the first one. */
  expectedMilliseconds(promptTokens: number): number | undefined {
    return this.mean === undefined
      ? undefined
      : this.mean * this.scale(promptTokens);
  }

  /** Returns the timeout for the first event of a request, in milliseconds. */
  firstEventTimeout(promptTokens: number): number {
    const {minMilliseconds, deviations} = this.options;
    if (this.mean === undefined) {
      const scale = Math.min(this.scale(promptTokens), maxInitialScale);
      return minMilliseconds * scale;
    }
    const deviation = Math.max(this.deviation, this.mean * minDeviation);
    const usual = this.mean + deviations * deviation;
    return Math.max(minMilliseconds, usual * this.scale(promptTokens));
  }

  private scale(promptTokens: number): number {
    return 1 + promptTokens / this.options.tokensToDouble;
  }
}
