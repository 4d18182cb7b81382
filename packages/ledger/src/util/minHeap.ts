/** @fileoverview Binary min-heap. */

/** Entry with the number that it is ordered by. */
export interface HeapEntry<T> {
  priority: number;
  value: T;
}

/** Priority queue that removes the lowest priority first, in O(log n). */
export class MinHeap<T> {
  private readonly entries: Array<HeapEntry<T>> = [];

  get size(): number {
    return this.entries.length;
  }

  peek(): HeapEntry<T> | undefined {
    return this.entries[0];
  }

  push(priority: number, value: T): void {
    this.entries.push({priority, value});
    let index = this.entries.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.keyAt(parent) <= this.keyAt(index)) return;
      this.swap(parent, index);
      index = parent;
    }
  }

  pop(): HeapEntry<T> | undefined {
    const first = this.entries[0];
    const last = this.entries.pop();
    if (first === undefined || last === undefined) return undefined;
    if (this.entries.length > 0) {
      this.entries[0] = last;
      this.siftDown();
    }
    return first;
  }

  private siftDown(): void {
    let index = 0;
    for (;;) {
      const left = index * 2 + 1;
      let smallest = index;
      if (this.keyAt(left) < this.keyAt(smallest)) smallest = left;
      if (this.keyAt(left + 1) < this.keyAt(smallest)) smallest = left + 1;
      if (smallest === index) return;
      this.swap(smallest, index);
      index = smallest;
    }
  }

  private keyAt(index: number): number {
    return this.entries[index]?.priority ?? Infinity;
  }

  private swap(a: number, b: number): void {
    const first = this.entries[a];
    const second = this.entries[b];
    if (first === undefined || second === undefined) return;
    this.entries[a] = second;
    this.entries[b] = first;
  }
}
