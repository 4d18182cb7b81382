/**
 * @fileoverview Rate per second with exponentially decaying weights.
 */

/** Exponentially decaying sum, read as a rate. Times are in milliseconds. */
export class DecayingRate {
  private sum = 0;
  /**
   * The same sum for an amount of 1 per millisecond. Dividing by it keeps the
   * rate from being too low before a full window has passed.
   */
  private weight = 0;
  private updatedAt?: number;

  /** @param windowMilliseconds Time constant of the decay. */
  constructor(private readonly windowMilliseconds: number) {}

  /** Adds an amount at a time. */
  add(amount: number, now: number): void {
    this.decay(now);
    this.sum += amount;
  }

  /** Returns the amount per second. */
  value(now: number): number {
    this.decay(now);
    const minWeight = this.windowMilliseconds * minWeightShare;
    return (this.sum / Math.max(this.weight, minWeight)) * 1_000;
  }

  private decay(now: number): void {
    const age = Math.max(0, now - (this.updatedAt ?? now));
    const factor = Math.exp(-age / this.windowMilliseconds);
    this.sum *= factor;
    this.weight = this.weight * factor + this.windowMilliseconds * (1 - factor);
    this.updatedAt = now;
  }
}

/** Least weight as a part of the window; below it, rates aren't extrapolated. */
const minWeightShare = 0.4;
