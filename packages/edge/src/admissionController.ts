/**
 * @fileoverview Which requests a router takes, by the load of its own loop.
 *
 * The loop's utilization is sampled as requests come, so that an idle router
 * spends nothing on it.
 */
import {performance} from 'node:perf_hooks';

import {ConcurrencyLimit} from '@dogwoodtrestle/fleet';
import {type Logger} from '@dogwoodtrestle/runtime';

/** Shortest time that a sample covers: several turns of a busy loop. */
const minSampleMilliseconds = 50;

/** Loop time since a reading, as `performance.eventLoopUtilization` tells it. */
export type EventLoopTimes = Pick<
  ReturnType<typeof performance.eventLoopUtilization>,
  'active' | 'idle'
>;

export interface AdmissionOptions {
  logger: Logger;
  /** Milliseconds that the loop was active and idle since its start. */
  readEventLoopTimes: () => EventLoopTimes;
}

/** Options that have no default, and any others. */
export type AdmissionStartOptions = Partial<AdmissionOptions> &
  Pick<AdmissionOptions, 'logger'>;

const defaultOptions = {
  readEventLoopTimes: (): EventLoopTimes => performance.eventLoopUtilization(),
};

/** Takes or refuses requests. */
export class AdmissionController {
  private readonly limit = new ConcurrencyLimit();
  private readonly options: AdmissionOptions;
  private lastTimes: EventLoopTimes;
  private wasSaturated = false;

  constructor(options: AdmissionStartOptions) {
    this.options = {...defaultOptions, ...options};
    this.lastTimes = this.options.readEventLoopTimes();
  }

  /**
   * Takes a request of a workspace.
   *
   * @returns What to call when the request has ended; undefined where this
   *     router can't take it.
   */
  admit(workspace: string): (() => void) | undefined {
    this.sample();
    if (!this.limit.admits(workspace)) return undefined;
    this.limit.begin(workspace);
    return () => this.limit.end(workspace);
  }

  private sample(): void {
    const next = this.options.readEventLoopTimes();
    const active = next.active - this.lastTimes.active;
    const covered = active + next.idle - this.lastTimes.idle;
    if (covered < minSampleMilliseconds) return;
    this.lastTimes = next;
    this.limit.observe(active / covered, covered);
    const {open, limit, utilization} = this.limit;
    const isSaturated = open >= limit;
    if (isSaturated === this.wasSaturated) return;
    this.wasSaturated = isSaturated;
    this.options.logger.info(
      {
        open,
        limit: Math.round(limit),
        utilization: roundToHundredths(utilization),
      },
      isSaturated
        ? 'the loop is busy; open requests are limited'
        : 'the loop has room for requests again',
    );
  }
}

function roundToHundredths(share: number): number {
  return Math.round(share * 100) / 100;
}
