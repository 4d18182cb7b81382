/**
 * @fileoverview Rate of events a second, weighed exponentially by their age.
 */

/** Exponentially decaying sum, read as a rate. */
export class DecayingRate {
  private sum = 0;
  private updatedAt = 0;

  /** @param windowMilliseconds Time constant of the decay. */
  constructor(private readonly windowMilliseconds: number) {}

  add(amount: number, now: number): void {
    this.decay(now);
    this.sum += amount;
  }

  /** Amount a second. */
  value(now: number): number {
    this.decay(now);
    return (this.sum / this.windowMilliseconds) * 1_000;
  }

  private decay(now: number): void {
    const age = Math.max(0, now - this.updatedAt);
    this.sum *= Math.exp(-age / this.windowMilliseconds);
    this.updatedAt = now;
  }
}
