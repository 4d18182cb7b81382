/** @fileoverview Moving average of how long admitted requests take. */

export interface ServiceTimeOptions {
  /** Weight of the newest sample. */
  smoothing: number;
}

export class ServiceTime {
  private mean: number | undefined;

  constructor(private readonly options: ServiceTimeOptions) {}

  /** Undefined until the first request has ended. */
  get meanMilliseconds(): number | undefined {
    return this.mean;
  }

  record(milliseconds: number): void {
    const {smoothing} = this.options;
    this.mean =
      this.mean === undefined
        ? milliseconds
        : this.mean + smoothing * (milliseconds - this.mean);
  }
}
