/**
 * @fileoverview Start-time fair queue over a tree of flows: customers, and
 * below them their workspaces. Flows that have work waiting are served alike,
 * by cost; within a flow the order is first in, first out.
 */

/** Something that waits, with the names of its flows, outermost first. */
export interface QueuedItem {
  path: readonly string[];
  /** Share of service that it uses up, above 0. */
  cost: number;
}

interface Flow<T extends QueuedItem> {
  /** Virtual time at which its next item starts. */
  start: number;
  queue: FairQueue<T>;
}

export class FairQueue<T extends QueuedItem> {
  private count = 0;
  private virtualTime = 0;
  private readonly flows = new Map<string, Flow<T>>();
  /** Items whose path ends here. */
  private items: T[] = [];

  constructor(private readonly depth = 0) {}

  get size(): number {
    return this.count;
  }

  push(item: T): void {
    this.count += 1;
    const name = item.path[this.depth];
    if (name === undefined) this.items.push(item);
    else this.flowOf(name).queue.push(item);
  }

  /** Takes the item whose turn it is. */
  shift(): T | undefined {
    if (this.count === 0) return undefined;
    this.count -= 1;
    const flow = this.nextFlow();
    if (!flow) return this.items.shift();
    const item = flow.queue.shift();
    this.virtualTime = flow.start;
    flow.start += item?.cost ?? 0;
    this.dropIdleFlows();
    return item;
  }

  /** Takes the newest item of the flow with most items waiting. */
  popLongest(): T | undefined {
    if (this.count === 0) return undefined;
    this.count -= 1;
    const longest = this.longestFlow();
    return longest ? longest.queue.popLongest() : this.items.pop();
  }

  /** Number of items waiting in the flow of that name. */
  sizeOf(name: string): number {
    return this.flows.get(name)?.queue.size ?? 0;
  }

  /** Most items that wait in one flow. */
  get longestSize(): number {
    return this.longestFlow()?.queue.size ?? 0;
  }

  /** Number of items that would be served before a new one on the path. */
  ahead(path: readonly string[]): number {
    const name = path[this.depth];
    if (name === undefined) return this.items.length;
    const own = this.flows.get(name)?.queue.ahead(path) ?? 0;
    let ahead = own;
    for (const [other, {queue}] of this.flows) {
      if (other !== name) ahead += Math.min(queue.size, own + 1);
    }
    return ahead;
  }

  /** Removes the items that the test picks; returns them. */
  remove(test: (item: T) => boolean): T[] {
    const removed = this.items.filter(test);
    if (removed.length > 0) {
      this.items = this.items.filter(item => !test(item));
    }
    for (const {queue} of this.flows.values()) {
      if (queue.size > 0) removed.push(...queue.remove(test));
    }
    this.count -= removed.length;
    return removed;
  }

  private flowOf(name: string): Flow<T> {
    let flow = this.flows.get(name);
    if (!flow) {
      flow = {start: this.virtualTime, queue: new FairQueue(this.depth + 1)};
      this.flows.set(name, flow);
    }
    // An idle flow saves up no service.
    if (flow.queue.size === 0) {
      flow.start = Math.max(flow.start, this.virtualTime);
    }
    return flow;
  }

  private nextFlow(): Flow<T> | undefined {
    let next: Flow<T> | undefined;
    for (const flow of this.flows.values()) {
      if (flow.queue.size === 0) continue;
      if (!next || flow.start < next.start) next = flow;
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

  /** Forgets flows whose service is no longer ahead of the others'. */
  private dropIdleFlows(): void {
    for (const [name, {start, queue}] of this.flows) {
      if (queue.size === 0 && start <= this.virtualTime) {
        this.flows.delete(name);
      }
    }
  }
}
