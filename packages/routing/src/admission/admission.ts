/**
 * @fileoverview Admission of requests to a bounded number of places: in order
 * of priority, in fair shares between customers and between the workspaces of
 * one, with a bounded queue. A request that can't make its deadline is refused
 * when it comes rather than after it has waited in vain.
 */
import {priorities, type Priority, priorityRank} from '../priority.js';
import {type MinimumShares, PriorityQueues} from './priorityQueues.js';
import {ServiceTime} from './serviceTime.js';

const sweepIntervalMilliseconds = 50;

export interface AdmissionOptions {
  /** Requests that run at once. */
  capacity: number;
  maximumQueued: number;
  /** Longest expected wait with which a request is queued, in a burst. */
  maximumWaitMilliseconds: Record<Priority, number>;
  /** The same once the queue hasn't been empty for a while. */
  standingWaitMilliseconds: Record<Priority, number>;
  /** A queue that hasn't been empty for this long is a standing one. */
  standingAfterMilliseconds: number;
  /** Share of the places that only urgent requests may take. */
  urgentReservedShare: number;
  minimumShares: MinimumShares;
  /** Bounds of what a refused caller is told to wait. */
  minimumRetryAfterMilliseconds: number;
  maximumRetryAfterMilliseconds: number;
  /** Weight of the newest service time in their average. */
  serviceTimeSmoothing: number;
  /** Uniform in [0, 1); spreads the return of refused callers. */
  random: () => number;
}

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

export interface AdmissionRequest {
  customer: string;
  workspace: string;
  priority: Priority;
  /** Monotonic milliseconds at which the answer must be complete. */
  deadline: number;
  /** Time that the request will take once admitted. */
  expectedMilliseconds?: number;
  /** Share of service that it uses up, 1 for an ordinary request. */
  cost?: number;
  now: number;
}

export interface AdmissionTicket {
  readonly id: number;
  readonly path: readonly [customer: string, workspace: string];
  readonly priority: Priority;
  readonly deadline: number;
  readonly expectedMilliseconds: number;
  readonly cost: number;
  readonly enteredAt: number;
}

export type AdmissionRefusalReason =
  /** It would have to wait past its deadline. */
  | 'deadlineTooClose'
  /** It waited until its deadline was too close. */
  | 'waitedTooLong'
  /** Too many are waiting, none of them less urgent. */
  | 'queueFull'
  /** It gave way to a more urgent one while it waited. */
  | 'shed';

export interface AdmissionRefusal {
  reason: AdmissionRefusalReason;
  retryAfterMilliseconds: number;
}

export type AdmissionOutcome =
  | {kind: 'admitted'; ticket: AdmissionTicket}
  | {kind: 'queued'; ticket: AdmissionTicket}
  | ({kind: 'refused'} & AdmissionRefusal);

export interface DispatchResult {
  /** Queued requests that may run now. */
  started: AdmissionTicket[];
  /** Queued requests that won't run. */
  refused: Array<{ticket: AdmissionTicket} & AdmissionRefusal>;
}

export class AdmissionController {
  private readonly options: AdmissionOptions;
  private readonly queues: PriorityQueues<AdmissionTicket>;
  private readonly serviceTime: ServiceTime;
  /** When the running requests started, by ticket. */
  private readonly running = new Map<AdmissionTicket, number>();
  private shed: AdmissionTicket[] = [];
  private nextId = 1;
  private nextSweepAt = -Infinity;
  /** When the queue was last seen empty. */
  private emptyAt = -Infinity;

  constructor(
    options: Partial<AdmissionOptions> &
      Pick<AdmissionOptions, 'capacity' | 'random'>,
  ) {
    this.options = {...defaultAdmissionOptions, ...options};
    this.queues = new PriorityQueues(this.options.minimumShares);
    this.serviceTime = new ServiceTime({
      smoothing: this.options.serviceTimeSmoothing,
    });
  }

  get runningCount(): number {
    return this.running.size;
  }

  get queuedCount(): number {
    return this.queues.size;
  }

  get capacity(): number {
    return this.options.capacity;
  }

  /** Changes the number of places; running requests aren't affected. */
  setCapacity(capacity: number): void {
    this.options.capacity = capacity;
  }

  /**
   * Takes in a request. After it, as after `leave`, call `next` for the
   * queued ones whose turn has come or that were shed.
   */
  submit(request: AdmissionRequest): AdmissionOutcome {
    const ticket = this.ticketOf(request);
    const isIdle = this.hasRoom(ticket.priority) && !this.isBlocked(ticket);
    const wait = isIdle ? 0 : this.expectedWait(ticket);
    const latestStart = ticket.deadline - ticket.expectedMilliseconds;
    if (request.now + wait > latestStart) {
      return this.refuse('deadlineTooClose', wait);
    }
    if (isIdle) {
      this.queues.recordBypass(ticket.priority);
      this.start(ticket, request.now);
      return {kind: 'admitted', ticket};
    }
    if (
      wait > this.longestWait(ticket, request.now) ||
      !this.makeRoom(ticket)
    ) {
      return this.refuse('queueFull', wait);
    }
    this.queues.push(ticket);
    return {kind: 'queued', ticket};
  }

  /** Gives up the place of a request, or its place in the queue. */
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

  /** Starts queued requests while there is room, and reports the refused. */
  dispatch(now: number): DispatchResult {
    const refused = this.shed.map(ticket => this.refusal(ticket, 'shed'));
    this.shed = [];
    const late = this.removeLate(now);
    const started: AdmissionTicket[] = [];
    while (this.running.size < this.options.capacity) {
      const ticket = this.queues.shift(each => this.hasRoom(each));
      if (!ticket) break;
      if (isLate(ticket, now)) {
        late.push(ticket);
        continue;
      }
      this.start(ticket, now);
      started.push(ticket);
    }
    refused.push(...late.map(ticket => this.refusal(ticket, 'waitedTooLong')));
    return {started, refused};
  }

  /** Searches the queues now and then only, as that costs time per ticket. */
  private removeLate(now: number): AdmissionTicket[] {
    if (now < this.nextSweepAt || this.queues.size === 0) return [];
    this.nextSweepAt = now + sweepIntervalMilliseconds;
    return this.queues.remove(ticket => isLate(ticket, now));
  }

  private ticketOf(request: AdmissionRequest): AdmissionTicket {
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

  private hasRoom(priority: Priority): boolean {
    const {capacity, urgentReservedShare: urgentReserve} = this.options;
    if (priority === 'urgent') return this.running.size < capacity;
    const places = Math.max(1, Math.round(capacity * (1 - urgentReserve)));
    return this.running.size < places;
  }

  private longestWait({priority}: AdmissionTicket, now: number): number {
    if (this.queues.size === 0) this.emptyAt = now;
    const {standingAfterMilliseconds, ...options} = this.options;
    return now - this.emptyAt < standingAfterMilliseconds
      ? options.maximumWaitMilliseconds[priority]
      : options.standingWaitMilliseconds[priority];
  }

  /** Whether others wait whose turn comes before. */
  private isBlocked({priority}: AdmissionTicket): boolean {
    if (this.queues.owesStart) return true;
    return priorities
      .slice(0, priorityRank(priority) + 1)
      .some(each => this.queues.sizeOf(each) > 0);
  }

  private start(ticket: AdmissionTicket, now: number): void {
    this.running.set(ticket, now);
    this.queues.recordStart(ticket.priority);
  }

  /** 0 while no request has ended yet and nothing can be told. */
  private expectedWait({priority, path}: AdmissionTicket): number {
    const mean = this.serviceTime.meanMilliseconds ?? 0;
    const starts = this.queues.startsBefore(priority, path);
    return (starts * mean) / Math.max(1, this.options.capacity);
  }

  private makeRoom({priority, path}: AdmissionTicket): boolean {
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

  private refusal(
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
    const spread = Math.max(wait, minimumRetryAfterMilliseconds);
    return Math.round(
      Math.min(spread * (1 + random()), maximumRetryAfterMilliseconds),
    );
  }
}

function isLate(ticket: AdmissionTicket, now: number): boolean {
  return now + ticket.expectedMilliseconds >= ticket.deadline;
}
