/**
 * @fileoverview Rate of events a second, weighed exponentially by their age.
 */

/** Exponentially decaying sum, read as a rate. */
export class DecayingRate {
  private sum = 0;
  /** The same for one event a millisecond, so that a young rate isn't low. */
  private weight = 0;
  private updatedAt?: number;

  /** @param windowMilliseconds Time constant of the decay. */
  constructor(private readonly windowMilliseconds: number) {}

  add(amount: number, now: number): void {
    this.decay(now);
    this.sum += amount;
  }

  /** Amount a second. */
  value(now: number): number {
    this.decay(now);
    const leastWeight = this.windowMilliseconds * leastWeightShare;
    return (this.sum / Math.max(this.weight, leastWeight)) * 1_000;
  }

  private decay(now: number): void {
    const age = Math.max(0, now - (this.updatedAt ?? now));
    const factor = Math.exp(-age / this.windowMilliseconds);
    this.sum *= factor;
    this.weight = this.weight * factor + this.windowMilliseconds * (1 - factor);
    this.updatedAt = now;
  }
}

/** Part of the window below which a rate isn't extrapolated. */
const leastWeightShare = 0.4;
