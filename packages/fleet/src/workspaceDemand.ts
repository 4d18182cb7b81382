/**
 * @fileoverview Demand for one workspace's tokens, summed over all routers.
 *
 * The sums are updated incrementally with each report, as hundreds of routers
 * report several times a second, each for many workspaces.
 */
import {type WorkspaceUsage} from '@dogwoodtrestle/schema';

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

  /** Usual demand at all routers, in tokens per second. */
  get rate(): number {
    return Math.max(0, this.rateSum);
  }

  /** Recent demand at all routers, in tokens per second. */
  get recentRate(): number {
    return Math.max(0, this.recentRateSum);
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
    this.recentRateSum -= known.recentRate;
  }
}
