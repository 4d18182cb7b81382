/**
 * @fileoverview Runs storage operations one at a time and tracks which entries
 * are durable.
 */
import {type Entry} from '@dogwoodtrestle/schema';

import {Stopped} from './errors.js';
import {type Storage, type StoredSnapshot} from './storage.js';

/** Entries that are queued to be written together. */
interface PendingAppend {
  entries: Entry[];
  done: Promise<void>;
}

/**
 * Writes the in-memory log to the storage. Appends that are queued together
 * become one write with one sync. After a failed operation all later ones fail.
 */
export class LogWriter {
  private lastOperation: Promise<unknown> = Promise.resolve();
  private queuedAppend?: PendingAppend;
  private pendingWrites = 0;
  /**
   * Entries from this index on were replaced in memory since the current write
   * started.
   */
  private replacedFrom = Infinity;
  private lastDurableIndex: number;
  private isClosed = false;

  constructor(
    private readonly storage: Storage,
    durableIndex: number,
    private readonly onFailure: (error: unknown) => void,
  ) {
    this.lastDurableIndex = durableIndex;
  }

  /** Highest index up to which the in-memory log is durable. */
  get durableIndex(): number {
    return this.lastDurableIndex;
  }

  /** Whether entries are being written or are queued. */
  get isAppending(): boolean {
    return this.pendingWrites > 0;
  }

  /** Resolves once the entries and all earlier operations are durable. */
  append(entries: readonly Entry[]): Promise<void> {
    const first = entries[0]?.index;
    if (first === undefined) return Promise.resolve();
    this.lastDurableIndex = Math.min(this.lastDurableIndex, first - 1);
    this.replacedFrom = Math.min(this.replacedFrom, first);
    if (this.queuedAppend === undefined) {
      const append = {entries: [...entries]} as PendingAppend;
      this.queuedAppend = append;
      this.pendingWrites++;
      append.done = this.run(() => this.write(append)).finally(() => {
        this.pendingWrites--;
      });
      append.done.catch(() => undefined);
    } else {
      replaceFrom(this.queuedAppend.entries, entries);
    }
    return this.queuedAppend.done;
  }

  /** Runs an operation after all earlier ones. */
  enqueue<T>(operation: (storage: Storage) => Promise<T>): Promise<T> {
    this.queuedAppend = undefined; // later appends must follow it
    return this.run(() => operation(this.storage));
  }

  /** Resolves once earlier operations have ended; later ones are rejected. */
  async close(): Promise<void> {
    await this.lastOperation.catch(() => undefined);
    this.isClosed = true;
  }

  /**
   * Replaces the stored log with a snapshot from the leader. Entries after
   * `committedIndex` no longer count as durable.
   */
  installSnapshot(
    snapshot: StoredSnapshot,
    committedIndex: number,
  ): Promise<void> {
    this.lastDurableIndex = Math.min(this.lastDurableIndex, committedIndex);
    this.replacedFrom = Math.min(this.replacedFrom, committedIndex + 1);
    return this.enqueue(async storage => {
      await storage.installSnapshot(snapshot, committedIndex);
      this.lastDurableIndex = Math.max(
        this.lastDurableIndex,
        snapshot.header.index,
      );
    });
  }

  private async write(append: PendingAppend): Promise<void> {
    if (this.queuedAppend === append) this.queuedAppend = undefined;
    this.replacedFrom = Infinity;
    await this.storage.append(append.entries);
    const last = append.entries.at(-1)?.index ?? 0;
    this.lastDurableIndex = Math.max(
      this.lastDurableIndex,
      Math.min(last, this.replacedFrom - 1),
    );
  }

  private run<T>(operation: () => Promise<T>): Promise<T> {
    const result = this.lastOperation.then(() => {
      if (this.isClosed) throw new Stopped('the storage is closed');
      return operation();
    });
    this.lastOperation = result;
    result.catch(this.onFailure);
    return result;
  }
}

/** Appends entries, replacing all existing ones from the first new index on. */
function replaceFrom(entries: Entry[], replacement: readonly Entry[]): void {
  const first = replacement[0]?.index ?? Infinity;
  const firstReplaced = entries.findIndex(entry => entry.index >= first);
  if (firstReplaced >= 0) entries.length = firstReplaced;
  entries.push(...replacement);
}
