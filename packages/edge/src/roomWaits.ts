/**
 * @fileoverview Lets requests wait for room at this router. Whoever has room to give
 * calls `dispatch`; a request takes its room in `onRoom`.
 */
import {
  priorities,
  type Priority,
  RoomQueue,
  type RoomRequest,
} from '@dogwoodtrestle/routing';
import {type Clock, type Histogram, type Logger} from '@dogwoodtrestle/runtime';

import {type RoutedRequest} from './routedRequest.js';

/**
 * Longest wait as a part of the latency goal: the rest is left for the server, and
 * for an answer in time elsewhere after a refusal.
 */
const goalPart = 0.25;

/** Longest wait whatever the goal: a refusal must come while a retry has time. */
const maxWaitMilliseconds = 400;

/** What a request waits for. */
export type RoomKind = 'processor' | 'connection';

/**
 * Receives the end of a wait; one of the first two functions is called once. Waits
 * end in the turns of other requests, so exceptions don't reach those.
 */
export interface RoomListener {
  /** Called when there is room; the request takes it before it returns. */
  onRoom: () => void;
  /** @param milliseconds Time until room is expected. */
  onRefused: (milliseconds: number) => void;
  /** Called if one of the others throws; the request is to end. */
  onFailed: (error: unknown) => void;
}

/** What only some of the room suits; missing for a part of the processor. */
export interface RoomNeed {
  /** The only software version that may get the request; missing for any. */
  softwareVersion?: string;
  /** Ids of servers that are excluded. */
  tried?: Pick<ReadonlyMap<string, unknown>, 'has'>;
}

/** Whether a request would find room. */
export type RoomTest = (need: RoomNeed) => boolean;

/** A request and how long it may wait. */
export interface WaitTerms {
  path: readonly [workspace: string, route: string];
  priority: Priority;
  /** 0 for a request that must not wait. */
  maxWaitMilliseconds: number;
  need?: RoomNeed;
}

/** Returns how a request waits. */
export function waitTermsOf({route, workspace}: RoutedRequest): WaitTerms {
  const rank = Math.min(
    workspace?.priority ?? route.priority,
    priorities.length - 1,
  );
  const wait = goalPart * route.latencyGoalMilliseconds;
  return {
    path: [workspace?.name ?? '', route.name],
    priority: priorities[Math.max(0, Math.trunc(rank))] ?? 'background',
    maxWaitMilliseconds: Math.min(wait, maxWaitMilliseconds),
  };
}

/** Options of the waits. */
export interface RoomWaitsOptions {
  clock: Clock;
  logger: Logger;
  kind: RoomKind;
  /** Returns which requests would find room now; undefined if none would. */
  findRoom: () => RoomTest | undefined;
  /** Times of waits, by kind and outcome. */
  waits: Histogram;
}

interface WaitingRequest extends RoomRequest {
  need: RoomNeed;
  listener: RoomListener;
  enteredAt: number;
  isOver: boolean;
  cancelTimer?: () => void;
}

/** Requests that wait for room of one kind. */
export class RoomWaits {
  private readonly queue = new RoomQueue<WaitingRequest>();

  constructor(private readonly options: RoomWaitsOptions) {}

  /** Number of requests that wait. */
  get size(): number {
    return this.queue.size;
  }

  /**
   * Waits for room, or is refused at once where none is expected in time.
   *
   * @returns Ends the wait; nothing is called after that.
   */
  enter(terms: WaitTerms, listener: RoomListener): () => void {
    const {clock} = this.options;
    const now = clock.now();
    const {path, priority, maxWaitMilliseconds, need = {}} = terms;
    const request: WaitingRequest = {
      path,
      priority,
      need,
      cost: 1,
      latestStart: now + maxWaitMilliseconds,
      listener,
      enteredAt: now,
      isOver: false,
    };
    const {isQueued, evicted} =
      maxWaitMilliseconds > 0
        ? this.queue.offer(request, now)
        : {isQueued: false};
    if (evicted !== undefined) this.refuse(evicted);
    if (!isQueued) {
      this.refuse(request);
      return () => undefined;
    }
    request.cancelTimer = clock.setTimer(maxWaitMilliseconds, () => {
      // Room may have come about without anybody's giving it back.
      this.dispatch();
      if (this.leave(request)) this.refuse(request);
    });
    return () => this.leave(request);
  }

  /** Whether a waiting request would find room now. */
  get isDue(): boolean {
    const accepts = this.findRoom();
    return accepts !== undefined && this.queue.has(accepts);
  }

  /** Starts requests while there is room for one of them. */
  dispatch(): void {
    for (;;) {
      const accepts = this.findRoom();
      if (accepts === undefined) return;
      const request = this.queue.shift(this.options.clock.now(), accepts);
      if (request === undefined) return;
      this.end(request, 'started');
      this.notify(request, ({onRoom}) => onRoom());
    }
  }

  /** Returns which waiting requests would find room; undefined if none would. */
  private findRoom(): ((request: WaitingRequest) => boolean) | undefined {
    if (this.queue.size === 0) return undefined;
    const suits = this.options.findRoom();
    return suits && (({need}) => suits(need));
  }

  /** Ends a wait; returns false if it has ended. */
  private leave(request: WaitingRequest): boolean {
    if (request.isOver) return false;
    this.queue.remove(request);
    request.isOver = true;
    request.cancelTimer?.();
    return true;
  }

  private refuse(request: WaitingRequest): void {
    this.end(request, 'refused');
    const milliseconds = this.queue.expectedWait(request);
    this.notify(request, ({onRefused}) => onRefused(milliseconds));
  }

  /** Calls a listener; its exceptions end its own request only. */
  private notify(
    {listener, path}: WaitingRequest,
    call: (listener: RoomListener) => void,
  ): void {
    const {logger, kind} = this.options;
    try {
      call(listener);
    } catch (error) {
      logger.error({err: error, kind, path}, 'request failed after its wait');
      try {
        listener.onFailed(error);
      } catch (endError) {
        logger.error({err: endError, kind, path}, 'could not end a request');
      }
    }
  }

  private end(request: WaitingRequest, outcome: 'started' | 'refused'): void {
    request.isOver = true;
    request.cancelTimer?.();
    const {clock, kind, waits} = this.options;
    waits.observe(clock.now() - request.enteredAt, {kind, outcome});
  }
}
