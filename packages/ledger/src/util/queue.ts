/** @fileoverview FIFO queue with amortized constant cost. */

const compactionThreshold = 1024;

/** First-in, first-out queue. */
export class Queue<T> {
  private items: T[] = [];
  private head = 0;

  get size(): number {
    return this.items.length - this.head;
  }

  push(item: T): void {
    this.items.push(item);
  }

  /** Returns the oldest item without removing it. */
  peek(): T | undefined {
    return this.items[this.head];
  }

  /** Removes and returns the oldest item. */
  shift(): T | undefined {
    const item = this.items[this.head];
    if (item === undefined) return undefined;
    this.head++;
    if (this.head >= compactionThreshold && this.head * 2 > this.items.length) {
      this.items = this.items.slice(this.head);
      this.head = 0;
    }
    return item;
  }

  toArray(): T[] {
    return this.items.slice(this.head);
  }
}
