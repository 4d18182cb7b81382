/**
 * @fileoverview Runs storage operations one after another, and knows which
 * entries are durable.
 */
import {type Entry} from '@dogwoodtrestle/schema';

import {Stopped} from './errors.js';
import {type Storage, type StoredSnapshot} from './storage.js';

/** Entries that wait for their turn to be written together. */
interface WaitingAppend {
  entries: Entry[];
  done: Promise<void>;
}

/**
 * Writes the log in memory to the storage. Appends that wait for the same turn
 * become one write with one sync. After a failed operation all later ones fail.
 */
export class LogWriter {
  private tail: Promise<unknown> = Promise.resolve();
  private waiting?: WaitingAppend;
  private writes = 0;
  /** Durable entries from this index on were replaced while being written. */
  private replacedFrom = Infinity;
  private durable: number;
  private isClosed = false;

  constructor(
    private readonly storage: Storage,
    durableIndex: number,
    private readonly onFailure: (error: unknown) => void,
  ) {
    this.durable = durableIndex;
  }

  /** Newest index up to which the log in memory is durable. */
  get durableIndex(): number {
    return this.durable;
  }

  /** Whether entries are being written, or wait for it. */
  get isAppending(): boolean {
    return this.writes > 0;
  }

  /** Resolves once the entries, and all earlier operations, are durable. */
  append(entries: readonly Entry[]): Promise<void> {
    const first = entries[0]?.index;
    if (first === undefined) return Promise.resolve();
    this.durable = Math.min(this.durable, first - 1);
    this.replacedFrom = Math.min(this.replacedFrom, first);
    if (this.waiting === undefined) {
      const waiting = {entries: [...entries]} as WaitingAppend;
      this.waiting = waiting;
      this.writes++;
      waiting.done = this.run(() => this.write(waiting)).finally(() => {
        this.writes--;
      });
      waiting.done.catch(() => undefined);
    } else {
      replaceFrom(this.waiting.entries, entries);
    }
    return this.waiting.done;
  }

  /** Runs an operation after all earlier ones. */
  enqueue<T>(operation: (storage: Storage) => Promise<T>): Promise<T> {
    this.waiting = undefined; // keeps later appends behind the operation
    return this.run(() => operation(this.storage));
  }

  /** Refuses later operations, and resolves once the earlier ones have ended. */
  async close(): Promise<void> {
    await this.tail.catch(() => undefined);
    this.isClosed = true;
  }

  /**
   * Replaces the log by a snapshot of the leader. Entries after
   * `committedIndex` no longer count as durable.
   */
  install(snapshot: StoredSnapshot, committedIndex: number): Promise<void> {
    this.durable = Math.min(this.durable, committedIndex);
    this.replacedFrom = Math.min(this.replacedFrom, committedIndex + 1);
    return this.enqueue(async storage => {
      await storage.installSnapshot(snapshot, committedIndex);
      this.durable = Math.max(this.durable, snapshot.header.index);
    });
  }

  private async write(append: WaitingAppend): Promise<void> {
    if (this.waiting === append) this.waiting = undefined;
    this.replacedFrom = Infinity;
    await this.storage.append(append.entries);
    const last = append.entries.at(-1)?.index ?? 0;
    this.durable = Math.max(
      this.durable,
      Math.min(last, this.replacedFrom - 1),
    );
  }

  private run<T>(operation: () => Promise<T>): Promise<T> {
    const result = this.tail.then(() => {
      if (this.isClosed) throw new Stopped('the storage is closed');
      return operation();
    });
    this.tail = result;
    result.catch(this.onFailure);
    return result;
  }
}

/** Replaces all entries from the first new one's index on. */
function replaceFrom(entries: Entry[], replacement: readonly Entry[]): void {
  const first = replacement[0]?.index ?? Infinity;
  const kept = entries.findIndex(entry => entry.index >= first);
  if (kept >= 0) entries.length = kept;
  entries.push(...replacement);
}
