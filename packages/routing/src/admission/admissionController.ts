/**
 * @fileoverview Admission control: runs requests in a bounded number of slots
 * and queues the others, by priority and in fair shares between customers and
 * between the workspaces of a customer. The queue is bounded, and a request
 * that is not expected to meet its deadline is refused on arrival instead of
 * after waiting.
 */
import {priorities, type Priority, priorityRank} from '../priority.js';
import {type MinimumShares, PriorityQueues} from './priorityQueues.js';
import {ServiceTimeAverage} from './serviceTime.js';

/** Minimum interval between searches of the queues for expired requests. */
const queueSweepIntervalMilliseconds = 50;

/** Limits of admission control. */
export interface AdmissionOptions {
  /** Number of slots, i.e. of requests that run at the same time. */
  capacity: number;
  /** Maximum number of queued requests. */
  maximumQueued: number;
  /** Maximum expected wait of a newly queued request during a burst. */
  maximumWaitMilliseconds: Record<Priority, number>;
  /** The same during a standing queue. */
  standingWaitMilliseconds: Record<Priority, number>;
  /** A queue that has not been empty for this long is a standing queue. */
  standingAfterMilliseconds: number;
  /** Share of the slots that is reserved for urgent requests, from 0 to 1. */
  urgentReservedShare: number;
  /** Minimum share of the starts by priority while requests wait. */
  minimumShares: MinimumShares;
  /** Lower bound on the retry time that a refused caller is given. */
  minimumRetryAfterMilliseconds: number;
  /** Upper bound on the retry time that a refused caller is given. */
  maximumRetryAfterMilliseconds: number;
  /** Weight of the newest sample in the average service time, in (0, 1]. */
  serviceTimeSmoothing: number;
  /** Returns uniform numbers in [0, 1); adds jitter to retry times. */
  random: () => number;
}

/** Default limits. */
export const defaultAdmissionOptions: Omit<
  AdmissionOptions,
  'capacity' | 'random'
> = {
  maximumQueued: 1_000,
  maximumWaitMilliseconds: {urgent: 4_000, normal: 4_000, background: 10_000},
  standingWaitMilliseconds: {urgent: 1_000, normal: 1_000, background: 10_000},
  standingAfterMilliseconds: 5_000,
  urgentReservedShare: 0.15,
  minimumShares: {urgent: 0, normal: 0.2, background: 0.05},
  minimumRetryAfterMilliseconds: 500,
  maximumRetryAfterMilliseconds: 5_000,
  serviceTimeSmoothing: 0.05,
};

/** A request that asks for admission. */
export interface AdmissionRequest {
  customer: string;
  workspace: string;
  priority: Priority;
  /** Time by which the response must be complete, in monotonic milliseconds. */
  deadline: number;
  /** Expected service time once admitted; 0 where it is missing. */
  expectedMilliseconds?: number;
  /** Cost in fair queueing; 1 where it is missing. */
  cost?: number;
  /** Monotonic milliseconds. */
  now: number;
}

/** Handle of a request that was admitted or queued. */
export interface AdmissionTicket {
  readonly id: number;
  readonly path: readonly [customer: string, workspace: string];
  readonly priority: Priority;
  readonly deadline: number;
  readonly expectedMilliseconds: number;
  readonly cost: number;
  readonly enteredAt: number;
}

/** Why a request was refused; shown to operators. */
export type AdmissionRefusalReason =
  /** The expected wait and service time exceed its deadline. */
  | 'deadlineTooClose'
  /** It was queued until it could no longer meet its deadline. */
  | 'waitedTooLong'
  /** The queue or the expected wait is too long and nothing can be shed. */
  | 'queueFull'
  /** It was removed from the queue to make room for another request. */
  | 'shed';

/** Reason of a refusal, with the time after which the caller should retry. */
export interface AdmissionRefusal {
  reason: AdmissionRefusalReason;
  retryAfterMilliseconds: number;
}

/** What became of a submitted request. */
export type AdmissionOutcome =
  | {kind: 'admitted'; ticket: AdmissionTicket}
  | {kind: 'queued'; ticket: AdmissionTicket}
  | ({kind: 'refused'} & AdmissionRefusal);

/** Requests that left the queue. */
export interface DispatchResult {
  /** Queued requests that may run now. */
  started: AdmissionTicket[];
  /** Queued requests that were shed or cannot meet their deadlines. */
  refused: Array<{ticket: AdmissionTicket} & AdmissionRefusal>;
}

/** Admission control of one model or service. */
export class AdmissionController {
  private readonly options: AdmissionOptions;
  private readonly queues: PriorityQueues<AdmissionTicket>;
  private readonly serviceTime: ServiceTimeAverage;
  /** Start times of the running requests, in monotonic milliseconds. */
  private readonly running = new Map<AdmissionTicket, number>();
  private shed: AdmissionTicket[] = [];
  private nextId = 1;
  private nextSweepAt = -Infinity;
  /** When the queue was last observed empty, in monotonic milliseconds. */
  private lastEmptyAt = -Infinity;

  constructor(
    options: Partial<AdmissionOptions> &
      Pick<AdmissionOptions, 'capacity' | 'random'>,
  ) {
    this.options = {...defaultAdmissionOptions, ...options};
    this.queues = new PriorityQueues(this.options.minimumShares);
    this.serviceTime = new ServiceTimeAverage({
      smoothing: this.options.serviceTimeSmoothing,
    });
  }

  /** Number of admitted requests that have not been released. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Number of queued requests. */
  get queuedCount(): number {
    return this.queues.size;
  }

  /** Number of slots. */
  get capacity(): number {
    return this.options.capacity;
  }

  /** Changes the number of slots; running requests are not affected. */
  setCapacity(capacity: number): void {
    this.options.capacity = capacity;
  }

  /**
   * Admits, queues or refuses a request. Call `dispatch` after it and after
   * `release`, to learn which queued requests may run or were shed.
   */
  submit(request: AdmissionRequest): AdmissionOutcome {
    const ticket = this.createTicket(request);
    const startsNow =
      this.hasFreeSlot(ticket.priority) && !this.isBehindOthers(ticket);
    const wait = startsNow ? 0 : this.expectedWait(ticket);
    const latestStart = ticket.deadline - ticket.expectedMilliseconds;
    if (request.now + wait > latestStart) {
      return this.refuse('deadlineTooClose', wait);
    }
    if (startsNow) {
      this.queues.recordBypass(ticket.priority);
      this.start(ticket, request.now);
      return {kind: 'admitted', ticket};
    }
    if (
      wait > this.maximumWait(ticket, request.now) ||
      !this.ensureQueueSpace(ticket)
    ) {
      return this.refuse('queueFull', wait);
    }
    this.queues.push(ticket);
    return {kind: 'queued', ticket};
  }

  /** Ends a running request or removes a queued one. */
  release(ticket: AdmissionTicket, now: number): void {
    const startedAt = this.running.get(ticket);
    if (startedAt === undefined) {
      this.queues.remove(queued => queued === ticket);
      this.shed = this.shed.filter(each => each !== ticket);
      return;
    }
    this.running.delete(ticket);
    this.serviceTime.record(now - startedAt);
  }

  /** Starts queued requests while slots are free and reports refused ones. */
  dispatch(now: number): DispatchResult {
    const refused = this.shed.map(ticket => this.refusalOf(ticket, 'shed'));
    this.shed = [];
    const expired = this.removeExpired(now);
    const started: AdmissionTicket[] = [];
    while (this.running.size < this.options.capacity) {
      const ticket = this.queues.shift(each => this.hasFreeSlot(each));
      if (!ticket) break;
      if (cannotMeetDeadline(ticket, now)) {
        expired.push(ticket);
        continue;
      }
      this.start(ticket, now);
      started.push(ticket);
    }
    refused.push(
      ...expired.map(ticket => this.refusalOf(ticket, 'waitedTooLong')),
    );
    return {started, refused};
  }

  /** Rate-limited, because it searches the whole queue. */
  private removeExpired(now: number): AdmissionTicket[] {
    if (now < this.nextSweepAt || this.queues.size === 0) return [];
    this.nextSweepAt = now + queueSweepIntervalMilliseconds;
    return this.queues.remove(ticket => cannotMeetDeadline(ticket, now));
  }

  private createTicket(request: AdmissionRequest): AdmissionTicket {
    const id = this.nextId;
    this.nextId += 1;
    return {
      id,
      path: [request.customer, request.workspace],
      priority: request.priority,
      deadline: request.deadline,
      expectedMilliseconds: request.expectedMilliseconds ?? 0,
      cost: request.cost ?? 1,
      enteredAt: request.now,
    };
  }

  private hasFreeSlot(priority: Priority): boolean {
    const {capacity, urgentReservedShare} = this.options;
    if (priority === 'urgent') return this.running.size < capacity;
    const unreservedSlots = Math.max(
      1,
      Math.round(capacity * (1 - urgentReservedShare)),
    );
    return this.running.size < unreservedSlots;
  }

  private maximumWait({priority}: AdmissionTicket, now: number): number {
    if (this.queues.size === 0) this.lastEmptyAt = now;
    const {standingAfterMilliseconds, ...options} = this.options;
    return now - this.lastEmptyAt < standingAfterMilliseconds
      ? options.maximumWaitMilliseconds[priority]
      : options.standingWaitMilliseconds[priority];
  }

  /** Whether queued requests come before the ticket. */
  private isBehindOthers({priority}: AdmissionTicket): boolean {
    if (this.queues.hasOwedStart) return true;
    return priorities
      .slice(0, priorityRank(priority) + 1)
      .some(each => this.queues.sizeOf(each) > 0);
  }

  private start(ticket: AdmissionTicket, now: number): void {
    this.running.set(ticket, now);
    this.queues.recordStart(ticket.priority);
  }

  /** In milliseconds; 0 until the first request has ended. */
  private expectedWait({priority, path}: AdmissionTicket): number {
    const mean = this.serviceTime.meanMilliseconds ?? 0;
    const startsAhead = this.queues.countStartsAhead(priority, path);
    return (startsAhead * mean) / Math.max(1, this.options.capacity);
  }

  private ensureQueueSpace({priority, path}: AdmissionTicket): boolean {
    if (this.queues.size < this.options.maximumQueued) return true;
    const evicted = this.queues.evictFor(priority, path);
    if (!evicted) return false;
    this.shed.push(evicted);
    return true;
  }

  private refuse(
    reason: AdmissionRefusalReason,
    wait: number,
  ): AdmissionOutcome {
    const retryAfterMilliseconds = this.retryAfter(wait);
    return {kind: 'refused', reason, retryAfterMilliseconds};
  }

  private refusalOf(
    ticket: AdmissionTicket,
    reason: AdmissionRefusalReason,
  ): {ticket: AdmissionTicket} & AdmissionRefusal {
    const retryAfterMilliseconds = this.retryAfter(this.expectedWait(ticket));
    return {ticket, reason, retryAfterMilliseconds};
  }

  private retryAfter(wait: number): number {
    const {
      minimumRetryAfterMilliseconds,
      maximumRetryAfterMilliseconds,
      random,
    } = this.options;
    const lowerBound = Math.max(wait, minimumRetryAfterMilliseconds);
    return Math.round(
      Math.min(lowerBound * (1 + random()), maximumRetryAfterMilliseconds),
    );
  }
}

function cannotMeetDeadline(ticket: AdmissionTicket, now: number): boolean {
  return now + ticket.expectedMilliseconds >= ticket.deadline;
}
