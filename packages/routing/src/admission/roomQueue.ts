/**
 * @fileoverview Requests that wait for room, such as a connection or a part of the
 * processor, which others give back one by one.
 *
 * Load pattern: room is short for the time of some requests, as after a jump of the
 * demand, or for long. In the first case a short wait saves a refusal and its
 * repetition. In the second one waits would only delay refusals, so a request that
 * isn't expected to find room in its time is refused on arrival.
 *
 * Priorities go first, with a minimum share for each lower one. Within a priority
 * workspaces get equal shares, and so do the routes of a workspace; requests of one
 * route have the same time limits, so the earliest deadline is first there.
 */
import {type Priority} from '../priority.js';
import {type ItemTest} from './fairQueue.js';
import {type MinimumShares, PriorityQueues} from './priorityQueues.js';
import {ServiceTimeAverage} from './serviceTime.js';

/** Limits of a queue. */
export interface RoomQueueOptions {
  maximumQueued: number;
  /** Minimum share of the starts by priority while requests wait. */
  minimumShares: MinimumShares;
  /** Weight of the newest interval between starts in their average, in (0, 1]. */
  intervalSmoothing: number;
  /** Longest interval that counts; no request waits longer. */
  maxIntervalMilliseconds: number;
}

/** Default limits. */
export const defaultRoomQueueOptions: RoomQueueOptions = {
  maximumQueued: 256,
  minimumShares: {urgent: 0, normal: 0.2, background: 0.05},
  intervalSmoothing: 0.1,
  maxIntervalMilliseconds: 400,
};

/** A request that waits. Times are monotonic, in milliseconds. */
export interface RoomRequest {
  readonly path: readonly [workspace: string, route: string];
  readonly priority: Priority;
  readonly cost: number;
  /** Time by which it must start. */
  readonly latestStart: number;
}

/** Waiting requests, in the order of their starts. */
export class RoomQueue<T extends RoomRequest> {
  private readonly options: RoomQueueOptions;
  private readonly queues: PriorityQueues<T>;
  private readonly startInterval: ServiceTimeAverage;
  /** Time of the last start, or since which requests wait. */
  private lastStartAt = -Infinity;

  constructor(options: Partial<RoomQueueOptions> = {}) {
    this.options = {...defaultRoomQueueOptions, ...options};
    const {minimumShares, intervalSmoothing: smoothing} = this.options;
    this.queues = new PriorityQueues(minimumShares);
    this.startInterval = new ServiceTimeAverage({smoothing});
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.queues.size;
  }

  /** Returns the expected wait of a new request, in milliseconds. */
  expectedWait({path, priority}: Pick<T, 'path' | 'priority'>): number {
    const interval = this.startInterval.meanMilliseconds ?? 0;
    return this.queues.countStartsAhead(priority, path) * interval;
  }

  /**
   * Adds a request, unless it isn't expected to start in time.
   *
   * @returns Whether it was added, and a request that had to leave for it.
   */
  offer(request: T, now: number): {isQueued: boolean; evicted?: T} {
    const {queues, options} = this;
    // An empty queue takes any request, so that the pace is measured again.
    const isLate =
      queues.size > 0 && now + this.expectedWait(request) > request.latestStart;
    if (isLate) return {isQueued: false};
    let evicted: T | undefined;
    if (queues.size >= options.maximumQueued) {
      evicted = queues.evictFor(request.priority, request.path);
      if (evicted === undefined) return {isQueued: false};
    }
    if (queues.size === 0) this.lastStartAt = now;
    queues.push(request);
    return {isQueued: true, evicted};
  }

  /** Whether a request waits that a test accepts. */
  has(accepts: ItemTest<T>): boolean {
    return this.queues.has(accepts);
  }

  /** Removes and returns the accepted request that starts next, if one waits. */
  shift(now: number, accepts?: ItemTest<T>): T | undefined {
    const next = this.queues.shift(() => true, accepts);
    if (next === undefined) return undefined;
    this.queues.recordStart(next.priority);
    this.startInterval.record(
      Math.min(now - this.lastStartAt, this.options.maxIntervalMilliseconds),
    );
    this.lastStartAt = now;
    return next;
  }

  /** Removes a request that waits no more. */
  remove(request: T): void {
    this.queues.remove(queued => queued === request);
  }
}
