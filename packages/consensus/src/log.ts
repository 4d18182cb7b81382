/**
 * @fileoverview The in-memory part of the replicated log.
 */
import {
  type Entry,
  type Member,
  type SnapshotHeader,
} from '@dogwoodtrestle/schema';

import {encodedLength} from './util/encodedEntry.js';

/**
 * Position before the first in-memory entry and the members at that position.
 */
export type LogBase = Omit<SnapshotHeader, 'index' | 'term'> & {
  index: number;
  term: number;
};

const emptyBase: LogBase = {index: 0, term: 0, timestamp: 0, members: []};

/** Consecutive entries after a base position. */
export class Log {
  private base: LogBase = emptyBase;
  private entries: Entry[] = [];
  /** In-memory membership entries, oldest first. */
  private membershipEntries: Entry[] = [];

  /** Index of the last entry that is no longer in memory. */
  get baseIndex(): number {
    return this.base.index;
  }

  get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.base.term;
  }

  get lastTimestamp(): number {
    return this.entries.at(-1)?.timestamp ?? this.base.timestamp;
  }

  /** The latest members, committed or not. */
  get members(): Member[] {
    return this.membershipEntries.at(-1)?.members ?? this.base.members;
  }

  /** Index of the latest membership entry. */
  get membershipIndex(): number {
    return this.membershipEntries.at(-1)?.index ?? this.base.index;
  }

  /** Members that apply at an index, which must not precede the base. */
  membersAt(index: number): Member[] {
    const entry = this.membershipEntries.findLast(
      entry => entry.index <= index,
    );
    return entry?.members ?? this.base.members;
  }

  /** Term of the entry at an index, or undefined if it isn't in memory. */
  termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entryAt(index)?.term;
  }

  /** Entry at an index, or undefined if it isn't in memory. */
  entryAt(index: number): Entry | undefined {
    return this.entries[index - this.base.index - 1];
  }

  /** Header of a snapshot that ends at an index. */
  snapshotHeaderAt(index: number): SnapshotHeader {
    const {term, timestamp} = this.entryAt(index) ?? this.base;
    return {index, term, timestamp, members: this.membersAt(index)};
  }

  /**
   * Returns consecutive entries within both limits, but at least one if there
   * is any.
   */
  slice(firstIndex: number, maxEntries: number, maxBytes: number): Entry[] {
    const result: Entry[] = [];
    let bytes = 0;
    for (let index = firstIndex; result.length < maxEntries; index++) {
      const entry = this.entryAt(index);
      if (entry === undefined) break;
      bytes += encodedLength(entry);
      if (bytes > maxBytes && result.length > 0) break;
      result.push(entry);
    }
    return result;
  }

  /** First in-memory index with the same term as the entry at an index. */
  firstIndexOfTermAt(index: number): number {
    const term = this.termAt(index);
    let first = index;
    while (first - 1 > this.base.index && this.termAt(first - 1) === term) {
      first--;
    }
    return first;
  }

  /**
   * Appends entries; they replace all entries from the first one's index on.
   */
  append(entries: readonly Entry[]): void {
    const first = entries[0]?.index;
    if (first === undefined) return;
    if (first <= this.lastIndex) this.truncate(first);
    for (const entry of entries) {
      this.entries.push(entry);
      if (entry.kind === 'membership') this.membershipEntries.push(entry);
    }
  }

  /** Removes entries up to an index from memory. */
  compact(index: number): void {
    if (index <= this.base.index) return;
    const base = this.snapshotHeaderAt(index);
    this.entries = this.entries.slice(index - this.base.index);
    this.membershipEntries = this.membershipEntries.filter(
      entry => entry.index > index,
    );
    this.base = base;
  }

  /** Removes all entries and sets a new base position. */
  reset(base: LogBase): void {
    this.base = base;
    this.entries = [];
    this.membershipEntries = [];
  }

  private truncate(firstIndex: number): void {
    this.entries.length = firstIndex - this.base.index - 1;
    this.membershipEntries = this.membershipEntries.filter(
      entry => entry.index < firstIndex,
    );
  }
}
