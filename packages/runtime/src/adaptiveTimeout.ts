/**
 * @fileoverview A timeout that follows measured times, in the way of the
 * retransmission timeout of TCP (RFC 6298): the smoothed time plus four times
 * its mean deviation, within bounds.
 *
 * Times beyond the timeout must be recorded as well, or it can't grow.
 */

/** Bounds of an adaptive timeout. */
export interface AdaptiveTimeoutOptions {
  minMilliseconds: number;
  maxMilliseconds: number;
}

/** Weights of a new sample, by RFC 6298. */
const timeWeight = 1 / 8;
const deviationWeight = 1 / 4;
const deviationFactor = 4;

/** Follows the times of one kind of operation. */
export class AdaptiveTimeout {
  private smoothed?: number;
  private deviation = 0;

  constructor(private readonly options: AdaptiveTimeoutOptions) {}

  /** The timeout in milliseconds. */
  get milliseconds(): number {
    const {minMilliseconds, maxMilliseconds} = this.options;
    const usual = (this.smoothed ?? 0) + deviationFactor * this.deviation;
    return Math.min(maxMilliseconds, Math.max(minMilliseconds, usual));
  }

  /** Records the time that an operation took. */
  record(milliseconds: number): void {
    if (this.smoothed === undefined) {
      this.smoothed = milliseconds;
      this.deviation = milliseconds / 2;
      return;
    }
    const error = milliseconds - this.smoothed;
    this.deviation += deviationWeight * (Math.abs(error) - this.deviation);
    this.smoothed += timeWeight * error;
  }
}
