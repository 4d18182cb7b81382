/** @fileoverview Moving average of the service time of admitted requests. */

/** Options of the average. */
export interface ServiceTimeAverageOptions {
  /** Weight of the newest sample, in (0, 1]. */
  smoothing: number;
}

/** Exponentially weighted moving average. */
export class ServiceTimeAverage {
  private mean: number | undefined;

  constructor(private readonly options: ServiceTimeAverageOptions) {}

  /** The average; undefined until the first sample. */
  get meanMilliseconds(): number | undefined {
    return this.mean;
  }

  /** Adds a sample. */
  record(milliseconds: number): void {
    const {smoothing} = this.options;
    this.mean =
      this.mean === undefined
        ? milliseconds
        : this.mean + smoothing * (milliseconds - this.mean);
  }
}
