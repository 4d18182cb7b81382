/**
 * @fileoverview Demand for one workspace's tokens, summed over all routers.
 *
 * The sums are updated incrementally with each report, as hundreds of routers
 * report several times a second, each for many workspaces.
 */
import {type WorkspaceUsage} from '@dogwoodtrestle/schema';

import {DecayingRate} from './decayingRate.js';

/** Time constants of the use of tokens: a usual time, and that of a surge. */
const slowUseMilliseconds = 12_000;
const fastUseMilliseconds = 3_000;

/** Time for which the use must have been observed to be known. */
const useKnownAfterMilliseconds = 5_000;

interface RouterDemand {
  rate: number;
  recentRate: number;
  reportedAt: number;
}

/** Demand of one workspace. Times are in milliseconds. */
export class WorkspaceDemand {
  /** By router, in order of the newest report, the oldest first. */
  private readonly routers = new Map<string, RouterDemand>();
  private rateSum = 0;
  private recentRateSum = 0;
  private rateSquareSum = 0;
  private readonly slowUse = new DecayingRate(slowUseMilliseconds);
  private readonly fastUse = new DecayingRate(fastUseMilliseconds);
  private used?: number;
  private useObservedFrom = Infinity;

  /** Usual demand at all routers, in tokens per second. */
  get rate(): number {
    return Math.max(0, this.rateSum);
  }

  /** Recent demand at all routers, in tokens per second. */
  get recentRate(): number {
    return Math.max(0, this.recentRateSum);
  }

  /**
   * Returns how few of a number of routers the demand enters at: from 0, if it
   * enters evenly, to 1 for a single router. This is the normalized Herfindahl
   * index of the routers' shares.
   */
  concentration(routers: number): number {
    if (this.rate === 0 || routers <= 1) return 0;
    const index = this.rateSquareSum / this.rate ** 2;
    const even = 1 / routers;
    return Math.min(1, Math.max(0, (index - even) / (1 - even)));
  }

  /**
   * Records the total that requests have used at all routers.
   *
   * @param used Total by the replicated state, in tokens.
   */
  recordUse(used: number, now: number): void {
    if (this.used === undefined) this.useObservedFrom = now;
    const increase = Math.max(0, used - (this.used ?? used));
    this.used = Math.max(used, this.used ?? 0);
    this.slowUse.add(increase, now);
    this.fastUse.add(increase, now);
  }

  /**
   * Returns the use of tokens at all routers per second, usual and recent;
   * undefined until it was observed for long enough.
   */
  useAt(now: number): {rate: number; recentRate: number} | undefined {
    const age = now - this.useObservedFrom;
    if (age < useKnownAfterMilliseconds) return undefined;
    return {
      rate: this.slowUse.value(now),
      recentRate: this.fastUse.value(now),
    };
  }

  /** Replaces the demand of a router by that of a new report. */
  record(
    router: string,
    {rate, recentRate}: Pick<WorkspaceUsage, 'rate' | 'recentRate'>,
    now: number,
  ): void {
    this.remove(router);
    this.routers.set(router, {rate, recentRate, reportedAt: now});
    this.rateSum += rate;
    this.rateSquareSum += rate ** 2;
    this.recentRateSum += recentRate;
  }

  /** Removes routers whose newest report is older than a time. */
  expire(oldest: number): void {
    for (const [router, {reportedAt}] of this.routers) {
      if (reportedAt >= oldest) return;
      this.remove(router);
    }
  }

  private remove(router: string): void {
    const known = this.routers.get(router);
    if (known === undefined) return;
    this.routers.delete(router);
    this.rateSum -= known.rate;
    this.rateSquareSum -= known.rate ** 2;
    this.recentRateSum -= known.recentRate;
  }
}
