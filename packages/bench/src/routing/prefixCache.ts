/**
 * @fileoverview Model of a server's prefix cache: a bounded LRU set of blocks
 * that records its changes.
 */

/** LRU cache of prompt blocks. */
export class PrefixCache {
  /** Least recently used first. */
  private readonly blocks = new Set<string>();
  private added = new Set<string>();
  private removed = new Set<string>();

  constructor(private readonly capacityBlocks: number) {}

  /** Returns the number of leading blocks that are cached. */
  countCachedPrefix(blocks: readonly string[]): number {
    let count = 0;
    while (count < blocks.length && this.blocks.has(blocks[count]!)) count += 1;
    return count;
  }

  /** Stores or refreshes blocks; the first blocks are evicted last. */
  store(blocks: readonly string[]): void {
    for (let index = blocks.length - 1; index >= 0; index -= 1) {
      this.touch(blocks[index]!);
    }
    for (const block of this.blocks) {
      if (this.blocks.size <= this.capacityBlocks) break;
      this.blocks.delete(block);
      if (!this.added.delete(block)) this.removed.add(block);
    }
  }

  clear(): void {
    this.blocks.clear();
    this.added.clear();
    this.removed.clear();
  }

  /** Returns the changes since the last call, or all blocks if `full`. */
  takeChanges(full: boolean): {added: string[]; removed: string[]} {
    const changes = {
      added: [...(full ? this.blocks : this.added)],
      removed: full ? [] : [...this.removed],
    };
    this.added = new Set();
    this.removed = new Set();
    return changes;
  }

  private touch(block: string): void {
    if (this.blocks.delete(block)) {
      this.blocks.add(block);
      return;
    }
    this.blocks.add(block);
    if (!this.removed.delete(block)) this.added.add(block);
  }
}
