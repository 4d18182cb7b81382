/**
 * @fileoverview One fair queue per priority. The most urgent priority is served
 * first, but each lower one with queued items gets a minimum share of the
 * starts, so that none starves.
 */
import {priorities, type Priority, priorityRank} from '../priority.js';
import {FairQueue, type ItemTest, type QueuedItem} from './fairQueue.js';

/** A queued item with a priority. */
export interface PrioritizedItem extends QueuedItem {
  priority: Priority;
}

/** Minimum share of the starts by priority, from 0 to 1, if items wait. */
export type MinimumShares = Record<Priority, number>;

/** Weight of the newest start in the moving shares of recent starts. */
const startShareSmoothing = 0.02;

/** Fair queues by priority, with credits against starvation. */
export class PriorityQueues<T extends PrioritizedItem> {
  private readonly queues = new Map<Priority, FairQueue<T>>();
  /** Starts owed to each priority; a start is due from 1 upwards. */
  private readonly credits = new Map<Priority, number>();
  /** Moving share of recent starts by priority. */
  private readonly recentShares = new Map<Priority, number>();

  constructor(private readonly minimumShares: MinimumShares) {
    for (const priority of priorities) {
      this.queues.set(priority, new FairQueue());
    }
  }

  /** Number of items of all priorities. */
  get size(): number {
    let size = 0;
    for (const queue of this.queues.values()) size += queue.size;
    return size;
  }

  /** Returns the number of items of the priority. */
  sizeOf(priority: Priority): number {
    return this.queueOf(priority).size;
  }

  /** Adds an item to the queue of its priority. */
  push(item: T): void {
    this.queueOf(item.priority).push(item);
  }

  /**
   * Removes and returns the next item. A priority that is owed a start gets it
   * even if `mayStart` denies it. Items that aren't accepted are passed over.
   */
  shift(
    mayStart: (priority: Priority) => boolean,
    accepts?: ItemTest<T>,
  ): T | undefined {
    const first = priorities.find(
      each => this.queueOf(each).has(accepts) && mayStart(each),
    );
    if (first) this.creditLowerPriorities(first, accepts);
    const next = this.consumeOwedStart(accepts) ?? first;
    return next && this.queueOf(next).shift(accepts);
  }

  /** Whether an item may be taken. */
  has(accepts?: ItemTest<T>): boolean {
    return priorities.some(each => this.queueOf(each).has(accepts));
  }

  /** Whether a queued item is owed the next start. */
  get hasOwedStart(): boolean {
    return this.owedPriority() !== undefined;
  }

  /** Records a start that bypassed the queues. */
  recordBypass(priority: Priority): void {
    this.creditLowerPriorities(priority);
  }

  /** Records a start, whether or not the request was queued. */
  recordStart(priority: Priority): void {
    for (const each of priorities) {
      const share = this.recentShare(each);
      const target = each === priority ? 1 : 0;
      this.recentShares.set(
        each,
        share + startShareSmoothing * (target - share),
      );
    }
  }

  /**
   * Evicts an item to make room for a request: the newest item of the longest
   * flow of the least urgent priority below that of the request. If there is
   * none, that of the request's own priority, provided that the longest flow
   * holds at least two items more than the request's customer.
   *
   * @returns The evicted item; undefined if none may be evicted.
   */
  evictFor(priority: Priority, path: readonly string[]): T | undefined {
    for (const lower of [...priorities].reverse()) {
      if (priorityRank(lower) <= priorityRank(priority)) break;
      const evicted = this.queueOf(lower).popFromLongestFlow();
      if (evicted) return evicted;
    }
    const own = this.queueOf(priority);
    const ownSize = own.flowSize(path[0] ?? '');
    return own.longestFlowSize > ownSize + 1
      ? own.popFromLongestFlow()
      : undefined;
  }

  /**
   * Estimates how many starts pass until a new item starts, including its own.
   *
   * @returns The number of starts of all priorities.
   */
  countStartsAhead(priority: Priority, path: readonly string[]): number {
    const ahead = this.queueOf(priority).countAhead(path) + 1;
    let aheadAbove = 0;
    let shareAbove = 0;
    for (const above of priorities.slice(0, priorityRank(priority))) {
      aheadAbove += this.sizeOf(above);
      shareAbove += this.recentShare(above);
    }
    const minimumShare = this.minimumShares[priority];
    const share = Math.max(minimumShare, 1 - shareAbove);
    const byMinimumShare = minimumShare > 0 ? ahead / minimumShare : Infinity;
    return Math.min(aheadAbove + ahead / share, byMinimumShare);
  }

  /** Removes and returns the items that match the predicate. */
  remove(predicate: (item: T) => boolean): T[] {
    return priorities.flatMap(each => this.queueOf(each).remove(predicate));
  }

  /** Credits the lower priorities that have queued items which may be taken. */
  private creditLowerPriorities(
    starting: Priority,
    accepts?: ItemTest<T>,
  ): void {
    for (const priority of priorities.slice(priorityRank(starting) + 1)) {
      if (!this.queueOf(priority).has(accepts)) continue;
      const credit = this.creditOf(priority) + this.minimumShares[priority];
      this.credits.set(priority, credit);
    }
  }

  private consumeOwedStart(accepts?: ItemTest<T>): Priority | undefined {
    const owed = this.owedPriority(accepts);
    if (owed) this.credits.set(owed, this.creditOf(owed) - 1);
    return owed;
  }

  private owedPriority(accepts?: ItemTest<T>): Priority | undefined {
    return priorities.find(
      each => this.creditOf(each) >= 1 && this.queueOf(each).has(accepts),
    );
  }

  private creditOf(priority: Priority): number {
    return this.credits.get(priority) ?? 0;
  }

  private recentShare(priority: Priority): number {
    return this.recentShares.get(priority) ?? 0;
  }

  private queueOf(priority: Priority): FairQueue<T> {
    return this.queues.get(priority)!;
  }
}
