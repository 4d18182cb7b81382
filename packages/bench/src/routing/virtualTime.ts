/** @fileoverview Discrete-event scheduler in virtual time. */

interface TimedEvent {
  at: number;
  /** Orders events of the same time by when they were scheduled. */
  order: number;
  run: () => void;
}

/**
 * Runs callbacks in order of virtual time, in milliseconds; a binary heap holds
 * the pending events.
 */
export class VirtualTime {
  private readonly heap: TimedEvent[] = [];
  private scheduled = 0;
  private current = 0;

  /** Milliseconds since the start of the run. */
  get now(): number {
    return this.current;
  }

  /** Schedules a callback after a delay. */
  after(milliseconds: number, run: () => void): void {
    const at = this.current + Math.max(0, milliseconds);
    const event = {at, order: this.scheduled, run};
    this.scheduled += 1;
    this.heap.push(event);
    this.siftUp(this.heap.length - 1);
  }

  /** Schedules a periodic callback, first after `first` milliseconds. */
  every(milliseconds: number, run: () => void, first = milliseconds): void {
    this.after(first, () => {
      run();
      this.every(milliseconds, run);
    });
  }

  /** Runs all events up to and including a time. */
  runUntil(end: number): void {
    for (;;) {
      const next = this.heap[0];
      if (!next || next.at > end) break;
      this.removeFirst();
      this.current = next.at;
      next.run();
    }
    this.current = end;
  }

  private removeFirst(): void {
    const last = this.heap.pop()!;
    if (this.heap.length === 0) return;
    this.heap[0] = last;
    this.siftDown(0);
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      let first = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < this.heap.length && this.isBefore(child, first)) {
          first = child;
        }
      }
      if (first === index) return;
      this.swap(index, first);
      index = first;
    }
  }

  private isBefore(a: number, b: number): boolean {
    const [left, right] = [this.heap[a]!, this.heap[b]!];
    if (left.at !== right.at) return left.at < right.at;
    return left.order < right.order;
  }

  private swap(a: number, b: number): void {
    const moved = this.heap[a]!;
    this.heap[a] = this.heap[b]!;
    this.heap[b] = moved;
  }
}
