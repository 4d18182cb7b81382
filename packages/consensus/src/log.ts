/**
 * @fileoverview The part of the log that is held in memory.
 */
import {
  type Entry,
  type Member,
  type SnapshotHeader,
} from '@dogwoodtrestle/schema';

import {encodedLength} from './util/encodedEntry.js';

/** Position before the first entry in memory, and the members at it. */
export type LogBase = Omit<SnapshotHeader, 'index' | 'term'> & {
  index: number;
  term: number;
};

const emptyBase: LogBase = {index: 0, term: 0, timestamp: 0, members: []};

/** Consecutive entries after a base position. */
export class Log {
  private base: LogBase = emptyBase;
  private entries: Entry[] = [];
  /** Membership entries in memory, oldest first. */
  private memberships: Entry[] = [];

  /** Position of the newest entry that is no longer in memory. */
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

  /** The newest members, committed or not. */
  get members(): Member[] {
    return this.memberships.at(-1)?.members ?? this.base.members;
  }

  /** Index of the newest membership entry. */
  get membershipIndex(): number {
    return this.memberships.at(-1)?.index ?? this.base.index;
  }

  /** Members in force at an index that isn't before the base. */
  membersAt(index: number): Member[] {
    const entry = this.memberships.findLast(entry => entry.index <= index);
    return entry?.members ?? this.base.members;
  }

  /** Term of the entry at an index, or undefined where it isn't known. */
  termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.at(index)?.term;
  }

  at(index: number): Entry | undefined {
    return this.entries[index - this.base.index - 1];
  }

  /** Position of an index, for a snapshot that ends at it. */
  headerAt(index: number): SnapshotHeader {
    const {term, timestamp} = this.at(index) ?? this.base;
    return {index, term, timestamp, members: this.membersAt(index)};
  }

  /** Returns consecutive entries, at least one where there is one. */
  slice(firstIndex: number, maxEntries: number, maxBytes: number): Entry[] {
    const result: Entry[] = [];
    let bytes = 0;
    for (let index = firstIndex; result.length < maxEntries; index++) {
      const entry = this.at(index);
      if (entry === undefined) break;
      bytes += encodedLength(entry);
      if (bytes > maxBytes && result.length > 0) break;
      result.push(entry);
    }
    return result;
  }

  /** First index in memory of the term that stands at an index. */
  firstIndexOfTermAt(index: number): number {
    const term = this.termAt(index);
    let first = index;
    while (first - 1 > this.base.index && this.termAt(first - 1) === term) {
      first--;
    }
    return first;
  }

  /** Appends entries, which replace all from the first one's index on. */
  append(entries: readonly Entry[]): void {
    const first = entries[0]?.index;
    if (first === undefined) return;
    if (first <= this.lastIndex) this.truncate(first);
    for (const entry of entries) {
      this.entries.push(entry);
      if (entry.kind === 'membership') this.memberships.push(entry);
    }
  }

  /** Drops entries up to an index from memory. */
  compact(index: number): void {
    if (index <= this.base.index) return;
    const base = this.headerAt(index);
    this.entries = this.entries.slice(index - this.base.index);
    this.memberships = this.memberships.filter(entry => entry.index > index);
    this.base = base;
  }

  /** Replaces the whole log by a position. */
  reset(base: LogBase): void {
    this.base = base;
    this.entries = [];
    this.memberships = [];
  }

  private truncate(firstIndex: number): void {
    this.entries.length = firstIndex - this.base.index - 1;
    this.memberships = this.memberships.filter(
      entry => entry.index < firstIndex,
    );
  }
}
