/**
 * @fileoverview Measures a customer's spending rate at this instance.
 */

/** Time constants of the exponential decay. */
const averageTimeConstantMilliseconds = 60_000;
const largestTimeConstantMilliseconds = 600_000;

/** Exponentially weighted moving average of one customer's spending. */
export class DemandMeter {
  private weightedCost = 0;
  private updatedAt: number;
  private largest = 0;
  private observedAt: number;

  /** @param now Monotonic time in milliseconds. */
  constructor(now: number) {
    this.updatedAt = now;
    this.observedAt = now;
  }

  /** Records the cost and the reservation of one request, in micros. */
  observe(cost: number, reserved: number, now: number): void {
    this.decay(now);
    this.observedAt = now;
    this.weightedCost += cost;
    this.largest = Math.max(this.largest, cost, reserved);
  }

  /** Average spending in micros per second. */
  perSecond(now: number): number {
    this.decay(now);
    return this.weightedCost / (averageTimeConstantMilliseconds / 1000);
  }

  /** Largest reservation of one request, in micros; decays slowly. */
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
    this.weightedCost *= Math.exp(-elapsed / averageTimeConstantMilliseconds);
    this.largest *= Math.exp(-elapsed / largestTimeConstantMilliseconds);
    this.updatedAt = now;
  }
}
