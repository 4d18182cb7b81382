/**
 * @fileoverview Weight of backend servers that have just started: their caches
 * are empty, so they get little work at first and more as they warm up.
 */
import {type Announcement} from '@dogwoodtrestle/schema';

export interface SlowStartOptions {
  /** Time from first sight to full weight. */
  durationMilliseconds: number;
  /** Weight at first sight, above 0 up to 1. */
  initialWeight: number;
  /**
   * Servers first seen this soon after this instance started count as warm:
   * they may well have been running before it.
   */
  discoveryMilliseconds: number;
}

export const defaultSlowStartOptions: SlowStartOptions = {
  durationMilliseconds: 10_000,
  initialWeight: 0.2,
  discoveryMilliseconds: 5_000,
};

interface FirstSight {
  incarnation: number;
  /** Monotonic milliseconds; `-Infinity` for a warm server. */
  seenAt: number;
}

export class SlowStart {
  private readonly options: SlowStartOptions;
  private readonly firstSights = new Map<string, FirstSight>();

  /** @param startedAt When this instance started, in monotonic milliseconds. */
  constructor(
    private readonly startedAt: number,
    options: Partial<SlowStartOptions> = {},
  ) {
    this.options = {...defaultSlowStartOptions, ...options};
  }

  /** Takes in an announcement; only the first of an incarnation counts. */
  observe(
    {name, incarnation}: Pick<Announcement, 'name' | 'incarnation'>,
    now: number,
  ): void {
    const known = this.firstSights.get(name);
    if (known && known.incarnation >= incarnation) return;
    const isWarm =
      !known && now - this.startedAt < this.options.discoveryMilliseconds;
    const seenAt = isWarm ? -Infinity : now;
    this.firstSights.set(name, {incarnation, seenAt});
  }

  /** Share of its full load that the server should get now. */
  weight(name: string, now: number): number {
    const seenAt = this.firstSights.get(name)?.seenAt ?? -Infinity;
    const {durationMilliseconds, initialWeight} = this.options;
    const progress = Math.max(0, (now - seenAt) / durationMilliseconds);
    return Math.min(1, initialWeight + (1 - initialWeight) * progress);
  }

  remove(name: string): void {
    this.firstSights.delete(name);
  }
}
