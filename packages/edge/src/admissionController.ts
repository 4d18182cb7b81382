/**
 * @fileoverview Limits a router's open requests by its event loop utilization.
 *
 * The utilization is sampled when requests arrive, so that an idle router does
 * no work for it.
 */
import {performance} from 'node:perf_hooks';

import {ConcurrencyLimit} from '@dogwoodtrestle/fleet';
import {type Clock, type Histogram, type Logger} from '@dogwoodtrestle/runtime';

import {RoomWaits, type WaitTerms} from './roomWaits.js';

/** Minimum time of a sample: several iterations of a busy event loop. */
const minSampleMilliseconds = 50;

/**
 * Time for which a refusal shows that other routers should get the requests: the
 * usual interval of a load balancer's health checks.
 */
const overloadMilliseconds = 1_000;

/** Event loop times in the form of `performance.eventLoopUtilization`. */
export type EventLoopTimes = Pick<
  ReturnType<typeof performance.eventLoopUtilization>,
  'active' | 'idle'
>;

/** Options of the admission controller. */
export interface AdmissionOptions {
  clock: Clock;
  logger: Logger;
  /** Times of waits, by kind and outcome. */
  waits: Histogram;
  /** Milliseconds for which the loop was active and idle since its start. */
  readEventLoopTimes: () => EventLoopTimes;
}

/** Options to create a controller; those with defaults may be omitted. */
export type AdmissionStartOptions = Partial<AdmissionOptions> &
  Pick<AdmissionOptions, 'clock' | 'logger'>;

const defaultOptions = {
  waits: {observe: () => undefined},
  readEventLoopTimes: (): EventLoopTimes => performance.eventLoopUtilization(),
};

/** Receives what becomes of a request; one of the first two is called once. */
export interface AdmissionListener {
  /** @param release Called when the request has ended. */
  onAdmitted: (release: () => void) => void;
  onRefused: () => void;
  /** Called if one of the others throws after a wait. */
  onFailed: (error: unknown) => void;
}

/** Admits requests, lets them wait for a short time, or refuses them. */
export class AdmissionController {
  private readonly limit = new ConcurrencyLimit();
  private readonly options: AdmissionOptions;
  private lastTimes: EventLoopTimes;
  private wasSaturated = false;
  private refusedAt = -Infinity;
  private readonly waiting: RoomWaits;

  constructor(options: AdmissionStartOptions) {
    this.options = {...defaultOptions, ...options};
    const {clock, logger, waits} = this.options;
    this.waiting = new RoomWaits({
      clock,
      logger,
      kind: 'processor',
      findRoom: () => (this.hasRoom() ? () => true : undefined),
      waits,
    });
    this.lastTimes = this.options.readEventLoopTimes();
  }

  /** Utilization of the event loop when requests arrived lately, 0 to 1. */
  get utilization(): number {
    return this.limit.utilization;
  }

  /** Whether requests found no room recently, which other routers may serve. */
  get isOverloaded(): boolean {
    return this.options.clock.now() - this.refusedAt < overloadMilliseconds;
  }

  /**
   * Admits a request of a workspace.
   *
   * @returns A function to call when the request has ended; undefined if the
   *     request is refused.
   */
  admit(workspace: string): (() => void) | undefined {
    this.sample();
    if (!this.limit.admits(workspace)) {
      this.refusedAt = this.options.clock.now();
      return undefined;
    }
    return this.begin(workspace);
  }

  /**
   * Admits a request, if need be after others, or refuses it.
   *
   * @returns Ends its wait; nothing is called after that.
   */
  enter(terms: WaitTerms, listener: AdmissionListener): () => void {
    const [workspace] = terms.path;
    const release = this.enterAtOnce(workspace);
    if (release !== undefined) {
      listener.onAdmitted(release);
      return () => undefined;
    }
    return this.waiting.enter(terms, {
      onRoom: () => listener.onAdmitted(this.begin(workspace)),
      onRefused: () => listener.onRefused(),
      onFailed: error => listener.onFailed(error),
    });
  }

  /** Admits a request after those that wait; see {@link admit}. */
  enterAtOnce(workspace: string): (() => void) | undefined {
    this.waiting.dispatch();
    return this.admit(workspace);
  }

  private begin(workspace: string): () => void {
    this.limit.begin(workspace);
    return () => {
      this.limit.end(workspace);
      this.waiting.dispatch();
    };
  }

  private hasRoom(): boolean {
    this.sample();
    return this.limit.open < this.limit.limit;
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
        ? 'event loop saturated; limiting open requests'
        : 'event loop no longer saturated',
    );
  }
}

function roundToHundredths(share: number): number {
  return Math.round(share * 100) / 100;
}
