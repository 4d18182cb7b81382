/**
 * @fileoverview Start-time fair queueing over a tree of flows: customers and
 * their workspaces. Backlogged flows get equal service, measured by cost;
 * within a flow the order is first in, first out.
 */

/** An item that can be queued. */
export interface QueuedItem {
  /** Names of its flows, the outermost first. */
  path: readonly string[];
  /** Service that it consumes, above 0. */
  cost: number;
}

/** Whether an item may be taken now; all may where it is missing. */
export type ItemTest<T> = (item: T) => boolean;

interface Flow<T extends QueuedItem> {
  /** Virtual time at which the next item of the flow starts. */
  startTag: number;
  queue: FairQueue<T>;
}

/** A fair queue; each flow holds the queue of the next level. */
export class FairQueue<T extends QueuedItem> {
  private count = 0;
  private virtualTime = 0;
  private readonly flows = new Map<string, Flow<T>>();
  /** Items whose path ends at this level. */
  private items: T[] = [];

  constructor(private readonly depth = 0) {}

  /** Number of items in all flows. */
  get size(): number {
    return this.count;
  }

  /** Adds an item at the end of its flow. */
  push(item: T): void {
    this.count += 1;
    const name = item.path[this.depth];
    if (name === undefined) this.items.push(item);
    else this.flowOf(name).queue.push(item);
  }

  /** Whether an item may be taken. */
  has(accepts?: ItemTest<T>): boolean {
    if (accepts === undefined || this.count === 0) return this.count > 0;
    if (this.items.some(accepts)) return true;
    return [...this.flows.values()].some(({queue}) => queue.has(accepts));
  }

  /** Removes and returns the next item that may be taken, if there is one. */
  shift(accepts?: ItemTest<T>): T | undefined {
    if (!this.has(accepts)) return undefined;
    this.count -= 1;
    const flow = this.nextFlow(accepts);
    if (!flow) {
      const index = accepts === undefined ? 0 : this.items.findIndex(accepts);
      return this.items.splice(index, 1)[0];
    }
    const item = flow.queue.shift(accepts);
    // A flow that was passed over may be behind.
    this.virtualTime = Math.max(this.virtualTime, flow.startTag);
    flow.startTag += item?.cost ?? 0;
    this.removeIdleFlows();
    return item;
  }

  /** Removes and returns the newest item of the longest flow. */
  popFromLongestFlow(): T | undefined {
    if (this.count === 0) return undefined;
    this.count -= 1;
    const longest = this.longestFlow();
    return longest ? longest.queue.popFromLongestFlow() : this.items.pop();
  }

  /** Returns the number of items in the named flow of this level. */
  flowSize(name: string): number {
    return this.flows.get(name)?.queue.size ?? 0;
  }

  /** Number of items in the longest flow of this level. */
  get longestFlowSize(): number {
    return this.longestFlow()?.queue.size ?? 0;
  }

  /** Returns the number of items that precede a new item with the path. */
  countAhead(path: readonly string[]): number {
    const name = path[this.depth];
    if (name === undefined) return this.items.length;
    const own = this.flows.get(name)?.queue.countAhead(path) ?? 0;
    let ahead = own;
    for (const [other, {queue}] of this.flows) {
      if (other !== name) ahead += Math.min(queue.size, own + 1);
    }
    return ahead;
  }

  /** Removes and returns the items that match the predicate. */
  remove(predicate: (item: T) => boolean): T[] {
    const removed = this.items.filter(predicate);
    if (removed.length > 0) {
      this.items = this.items.filter(item => !predicate(item));
    }
    for (const {queue} of this.flows.values()) {
      if (queue.size > 0) removed.push(...queue.remove(predicate));
    }
    this.count -= removed.length;
    return removed;
  }

  private flowOf(name: string): Flow<T> {
    let flow = this.flows.get(name);
    if (!flow) {
      flow = {startTag: this.virtualTime, queue: new FairQueue(this.depth + 1)};
      this.flows.set(name, flow);
    }
    // An idle flow must not accumulate credit.
    if (flow.queue.size === 0) {
      flow.startTag = Math.max(flow.startTag, this.virtualTime);
    }
    return flow;
  }

  private nextFlow(accepts?: ItemTest<T>): Flow<T> | undefined {
    let next: Flow<T> | undefined;
    for (const flow of this.flows.values()) {
      if (next && flow.startTag >= next.startTag) continue;
      if (flow.queue.has(accepts)) next = flow;
    }
    return next;
  }

  private longestFlow(): Flow<T> | undefined {
    let longest: Flow<T> | undefined;
    for (const flow of this.flows.values()) {
      if (flow.queue.size === 0) continue;
      if (!longest || flow.queue.size > longest.queue.size) longest = flow;
    }
    return longest;
  }

  /** Removes empty flows whose start tag the virtual time has passed. */
  private removeIdleFlows(): void {
    for (const [name, {startTag, queue}] of this.flows) {
      if (queue.size === 0 && startTag <= this.virtualTime) {
        this.flows.delete(name);
      }
    }
  }
}
