/**
 * @fileoverview One fair queue per priority. The most urgent goes first, but
 * each lower priority that has work waiting gets a minimum share of the
 * starts, so that none of them starves.
 */
import {priorities, type Priority, priorityRank} from '../priority.js';
import {FairQueue, type QueuedItem} from './fairQueue.js';

export interface PrioritizedItem extends QueuedItem {
  priority: Priority;
}

/** Smallest share of the starts for a priority that has work waiting. */
export type MinimumShares = Record<Priority, number>;

/** Weight of the newest start in the shares of recent starts. */
const startSmoothing = 0.02;

export class PriorityQueues<T extends PrioritizedItem> {
  private readonly queues = new Map<Priority, FairQueue<T>>();
  /** Starts that a priority is owed by the more urgent ones. */
  private readonly credits = new Map<Priority, number>();
  private readonly recentShares = new Map<Priority, number>();

  constructor(private readonly minimumShares: MinimumShares) {
    for (const priority of priorities) {
      this.queues.set(priority, new FairQueue());
    }
  }

  get size(): number {
    let size = 0;
    for (const queue of this.queues.values()) size += queue.size;
    return size;
  }

  sizeOf(priority: Priority): number {
    return this.queueOf(priority).size;
  }

  push(item: T): void {
    this.queueOf(item.priority).push(item);
  }

  /**
   * Takes the item whose turn it is. A priority that is owed a start gets it
   * even where it may not start otherwise.
   */
  shift(mayStart: (priority: Priority) => boolean): T | undefined {
    const first = priorities.find(
      each => this.sizeOf(each) > 0 && mayStart(each),
    );
    if (first) this.addCredits(first);
    const turn = this.takeOwedStart() ?? first;
    return turn && this.queueOf(turn).shift();
  }

  /** Whether a waiting item is to start before any other. */
  get owesStart(): boolean {
    return this.owedPriority() !== undefined;
  }

  /** Notes a start that passed by those who wait. */
  recordBypass(priority: Priority): void {
    this.addCredits(priority);
  }

  /** Notes a start, whether or not the request had to wait. */
  recordStart(priority: Priority): void {
    for (const each of priorities) {
      const share = this.recentShare(each);
      const target = each === priority ? 1 : 0;
      this.recentShares.set(each, share + startSmoothing * (target - share));
    }
  }

  /**
   * Makes room for a request: takes the newest item of the longest flow of
   * the least urgent priority below that of the request, or of its own
   * priority if a customer has clearly more waiting there than its own.
   */
  evictFor(priority: Priority, path: readonly string[]): T | undefined {
    for (const lower of [...priorities].reverse()) {
      if (priorityRank(lower) <= priorityRank(priority)) break;
      const evicted = this.queueOf(lower).popLongest();
      if (evicted) return evicted;
    }
    const own = this.queueOf(priority);
    const ownSize = own.sizeOf(path[0] ?? '');
    return own.longestSize > ownSize + 1 ? own.popLongest() : undefined;
  }

  /**
   * Starts that will come before that of a new item, as if all of them were
   * of its own priority's speed.
   *
   * @returns The number of starts, counted at the full rate.
   */
  startsBefore(priority: Priority, path: readonly string[]): number {
    const ahead = this.queueOf(priority).ahead(path) + 1;
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

  remove(test: (item: T) => boolean): T[] {
    return priorities.flatMap(each => this.queueOf(each).remove(test));
  }

  /** Credits the less urgent that wait while this one starts. */
  private addCredits(starting: Priority): void {
    for (const priority of priorities.slice(priorityRank(starting) + 1)) {
      if (this.sizeOf(priority) === 0) continue;
      const credit = this.creditOf(priority) + this.minimumShares[priority];
      this.credits.set(priority, credit);
    }
  }

  private takeOwedStart(): Priority | undefined {
    const owed = this.owedPriority();
    if (owed) this.credits.set(owed, this.creditOf(owed) - 1);
    return owed;
  }

  private owedPriority(): Priority | undefined {
    return priorities.find(
      each => this.sizeOf(each) > 0 && this.creditOf(each) >= 1,
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
