/**
 * @fileoverview Measures what a customer spends at this instance.
 */

/** Time constants, in milliseconds. */
const averagingMilliseconds = 60_000;
const largestFadesMilliseconds = 600_000;

/** Exponentially weighted spending of one customer. */
export class DemandMeter {
  private weighted = 0;
  private updatedAt: number;
  private largest = 0;
  private observedAt: number;

  /** @param now Monotonic time in milliseconds. */
  constructor(now: number) {
    this.updatedAt = now;
    this.observedAt = now;
  }

  /** Takes in one request's cost, and what was reserved for it, in micros. */
  observe(cost: number, reserved: number, now: number): void {
    this.decay(now);
    this.observedAt = now;
    this.weighted += cost;
    this.largest = Math.max(this.largest, cost, reserved);
  }

  /** Spending in micros per second. */
  perSecond(now: number): number {
    this.decay(now);
    return this.weighted / (averagingMilliseconds / 1000);
  }

  /** Largest reservation of one request, in micros; fades slowly. */
  largestRequest(now: number): number {
    this.decay(now);
    return Math.ceil(this.largest);
  }

  /** Time since the last request, in milliseconds. */
  idleMilliseconds(now: number): number {
    return now - this.observedAt;
  }

  private decay(now: number): void {
    const elapsed = now - this.updatedAt;
    this.weighted *= Math.exp(-elapsed / averagingMilliseconds);
    this.largest *= Math.exp(-elapsed / largestFadesMilliseconds);
    this.updatedAt = now;
  }
}
