/**
 * @fileoverview Measures the time for which a process has run, without the time
 * for which it was suspended.
 *
 * While a process is suspended, another one may replace it, and the process
 * can't know it when it resumes. So the time of a suspension must not extend any
 * time limit.
 */

/**
 * Longest gap between two clock readings that counts as running time: a few of
 * the intervals at which routers report.
 */
const maxGapMilliseconds = 1_000;

/** Running time; it never advances faster than the clock it is measured by. */
export class RunningTime {
  private elapsed = 0;
  private readAt?: number;

  /**
   * Returns the running time in milliseconds.
   *
   * @param now Time by the process's monotonic clock, in milliseconds.
   */
  at(now: number): number {
    const gap = now - (this.readAt ?? now);
    this.readAt = Math.max(now, this.readAt ?? now);
    if (gap > 0 && gap <= maxGapMilliseconds) this.elapsed += gap;
    return this.elapsed;
  }
}
