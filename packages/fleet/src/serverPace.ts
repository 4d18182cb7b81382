/**
 * @fileoverview The pace at which one router gives work to a backend server that
 * has just started or recovered.
 *
 * Answers the load pattern of a server that comes back idle among loaded peers:
 * all routers choose it at once, its queue grows and its caches are empty, so it
 * fails again. The pace follows how the server answers, like the congestion window
 * of TCP: a bound on the router's open requests there that grows with each good
 * answer and is halved by each refusal, failure or slow answer. No time is fixed,
 * and the bound never reaches 0.
 */

/** Options of the pace. */
export interface ServerPaceOptions {
  /** Part of the server's slots that all routers together use at the start. */
  startShare: number;
  /** Factor of the time that peers take, from which on an answer is slow. */
  slowFactor: number;
}

export const defaultServerPaceOptions: ServerPaceOptions = {
  startShare: 0.5,
  slowFactor: 2,
};

/** Factor by which a good answer raises a bound below 1. */
const growthBelowOne = 4;

/** What the routers share. */
export interface ServerRoom {
  /** Requests that the server runs at once. */
  slots: number;
  /** Routers that send to the server. */
  routers: number;
}

/** The beginning of an answer. Times are monotonic, in milliseconds. */
export interface FirstAnswer {
  sentAt: number;
  milliseconds: number;
  /** What servers of the service take for such a request; missing if unknown. */
  expectedMilliseconds?: number;
}

/** Change of the pace by an answer. */
export type PaceChange = 'full' | 'slowed';

/** Pace of one server; unbounded until {@link start}. */
export class ServerPace {
  private readonly options: ServerPaceOptions;
  private window = Infinity;
  /** Answers to requests from before tell nothing. */
  private changedAt = -Infinity;

  constructor(options: Partial<ServerPaceOptions> = {}) {
    this.options = {...defaultServerPaceOptions, ...options};
  }

  /** Whether the server gets all that it may. */
  get isFull(): boolean {
    return this.window === Infinity;
  }

  /**
   * Bound of the open requests. Below 1 it is the probability with which a router
   * without an open request there may send one.
   */
  get openRequests(): number {
    return this.window;
  }

  /** Starts at the least pace: the server has started or recovered. */
  start(room: ServerRoom, now: number): void {
    this.window = this.leastWindow(room);
    this.changedAt = now;
  }

  /** Records the beginning of an answer. */
  recordAnswer(
    {sentAt, milliseconds, expectedMilliseconds}: FirstAnswer,
    room: ServerRoom,
    now: number,
  ): PaceChange | undefined {
    if (this.isFull || sentAt < this.changedAt) return undefined;
    const limit = (expectedMilliseconds ?? Infinity) * this.options.slowFactor;
    if (milliseconds > limit) return this.slowDown(room, now);
    this.window += this.growth(room);
    if (this.window < Math.max(1, room.slots)) return undefined;
    this.window = Infinity;
    return 'full';
  }

  /** Records a refusal or a failure. */
  recordFailure(room: ServerRoom, now: number): PaceChange | undefined {
    return this.isFull ? undefined : this.slowDown(room, now);
  }

  /**
   * Whether a request may be sent.
   *
   * @param openRequests Open requests of this router at the server.
   * @param random Random number of at least 0 and less than 1.
   */
  admits(openRequests: number, random: number): boolean {
    if (this.window >= 1) return openRequests + 1 <= this.window;
    return openRequests === 0 && random < this.window;
  }

  /** Returns the part of its full load that the server should get, from 0 to 1. */
  part({slots, routers}: ServerRoom): number {
    const full = Math.max(1, slots / Math.max(1, routers));
    return Math.min(1, Math.max(1, this.window) / full);
  }

  /**
   * A bound below 1 is multiplied, since a router that seldom sends sees few
   * answers; up to the router's share it doubles in the time of an answer, and
   * beyond it grows by 1 in that time.
   */
  private growth({slots, routers}: ServerRoom): number {
    const {window} = this;
    if (window < 1) return Math.min(1, window * growthBelowOne) - window;
    return window < slots / Math.max(1, routers) ? 1 : 1 / window;
  }

  private slowDown(room: ServerRoom, now: number): PaceChange {
    this.window = Math.max(this.leastWindow(room), this.window / 2);
    this.changedAt = now;
    return 'slowed';
  }

  private leastWindow({slots, routers}: ServerRoom): number {
    const {startShare} = this.options;
    const share = (Math.max(1, slots) * startShare) / Math.max(1, routers);
    return Math.min(1, share);
  }
}
