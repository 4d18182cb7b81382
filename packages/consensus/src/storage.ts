/**
 * @fileoverview Interface of the durable state of a replica.
 */
import {type Entry, type SnapshotHeader} from '@dogwoodtrestle/schema';

/** What a replica must never forget about elections. */
export interface HardState {
  term: number;
  /** Id of the candidate that got this replica's vote in `term`. */
  votedFor?: string;
}

/** A snapshot of the state machine as JSON text. */
export interface StoredSnapshot {
  header: SnapshotHeader;
  text: string;
}

/** Everything that a replica reads back when it opens. */
export interface StoredState {
  hardState: HardState;
  snapshot?: StoredSnapshot;
  /** Consecutive entries; the first may be older than the snapshot. */
  entries: Entry[];
}

/** Entries that the history lacks: after one index, up to another. */
export interface HistoryGap {
  afterIndex: number;
  lastIndex: number;
}

/**
 * Durable state of one replica. Each write is durable once it resolves. The
 * replica runs one operation at a time.
 */
export interface Storage {
  /** Drawn when the storage was made, and never changed. */
  readonly identity: string;
  load(): Promise<StoredState>;
  saveHardState(hardState: HardState): Promise<void>;
  /** Appends entries, which replace all entries from the first one's index on. */
  append(entries: readonly Entry[]): Promise<void>;
  /**
   * Saves a snapshot of this replica's own state. Entries up to `keepAfter` are
   * no longer loaded, but stay readable by `history`.
   */
  saveSnapshot(snapshot: StoredSnapshot, keepAfter: number): Promise<void>;
  /**
   * Saves a snapshot of the leader and drops the log. Entries up to
   * `committedIndex` stay readable by `history`.
   */
  installSnapshot(
    snapshot: StoredSnapshot,
    committedIndex: number,
  ): Promise<void>;
  /** Returns the first gap in the history up to an index. */
  historyGap(lastIndex: number): Promise<HistoryGap | undefined>;
  /** Adds older entries to the history; they were committed elsewhere. */
  addHistory(entries: readonly Entry[]): Promise<void>;
  readSnapshot(): Promise<StoredSnapshot | undefined>;
  /**
   * Returns entries after `afterIndex` up to `lastIndex`, oldest first, at most
   * `limit`.
   */
  history(
    afterIndex: number,
    limit: number,
    lastIndex: number,
  ): Promise<Entry[]>;
  close(): Promise<void>;
}
