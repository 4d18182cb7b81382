/**
 * @fileoverview Slow start of backend servers: the caches of a server that has
 * just started are empty, so its weight grows from a low value to 1.
 */
import {type Announcement} from '@dogwoodtrestle/schema';

/** Course of the weight after a start. */
export interface SlowStartOptions {
  /** Time from the first announcement to full weight. */
  durationMilliseconds: number;
  /** Weight at the first announcement, in (0, 1]. */
  initialWeight: number;
  /**
   * Servers first seen within this time after the start of this instance get
   * full weight: they have probably been running before it.
   */
  discoveryMilliseconds: number;
}

/** Default course of the weight. */
export const defaultSlowStartOptions: SlowStartOptions = {
  durationMilliseconds: 10_000,
  initialWeight: 0.2,
  discoveryMilliseconds: 5_000,
};

interface FirstSeen {
  incarnation: number;
  /** Monotonic milliseconds; `-Infinity` if it needs no slow start. */
  seenAt: number;
}

/** Weights of recently started servers, by name. */
export class SlowStart {
  private readonly options: SlowStartOptions;
  private readonly firstSeenByName = new Map<string, FirstSeen>();

  /** @param startedAt When this instance started, in monotonic milliseconds. */
  constructor(
    private readonly startedAt: number,
    options: Partial<SlowStartOptions> = {},
  ) {
    this.options = {...defaultSlowStartOptions, ...options};
  }

  /** Records the first announcement of an incarnation; ignores later ones. */
  observe(
    {name, incarnation}: Pick<Announcement, 'name' | 'incarnation'>,
    now: number,
  ): void {
    const known = this.firstSeenByName.get(name);
    if (known && known.incarnation >= incarnation) return;
    const isWarm =
      !known && now - this.startedAt < this.options.discoveryMilliseconds;
    const seenAt = isWarm ? -Infinity : now;
    this.firstSeenByName.set(name, {incarnation, seenAt});
  }

  /** Returns the share of its full load that the server should get, in (0, 1]. */
  weight(name: string, now: number): number {
    const seenAt = this.firstSeenByName.get(name)?.seenAt ?? -Infinity;
    const {durationMilliseconds, initialWeight} = this.options;
    const progress = Math.max(0, (now - seenAt) / durationMilliseconds);
    return Math.min(1, initialWeight + (1 - initialWeight) * progress);
  }

  /** Removes a server that the directory has removed. */
  remove(name: string): void {
    this.firstSeenByName.delete(name);
  }
}
