/** @fileoverview Sliding window of samples in ascending order. */

const sampleCount = 200;
/** Samples between two sorts of the window. */
const sortInterval = 20;

/** Keeps the most recent samples. */
export class RecentSamples {
  private readonly samples: number[] = [];
  private recordCount = 0;
  private ascending: number[] = [];

  record(value: number): void {
    this.samples[this.recordCount % sampleCount] = value;
    this.recordCount += 1;
    if (this.recordCount % sortInterval !== 0) return;
    this.ascending = [...this.samples].sort((a, b) => a - b);
  }

  /** Returns the samples in ascending order, as of the last sort. */
  sorted(): readonly number[] {
    return this.ascending;
  }
}
