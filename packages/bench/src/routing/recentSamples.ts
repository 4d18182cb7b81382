/** @fileoverview The newest samples of a measurement, in ascending order. */

const sampleCount = 200;
/** The order is worked out anew after this many samples. */
const sortEvery = 20;

export class RecentSamples {
  private readonly samples: number[] = [];
  private next = 0;
  private ascending: number[] = [];

  record(value: number): void {
    this.samples[this.next % sampleCount] = value;
    this.next += 1;
    if (this.next % sortEvery !== 0) return;
    this.ascending = [...this.samples].sort((a, b) => a - b);
  }

  sorted(): readonly number[] {
    return this.ascending;
  }
}
