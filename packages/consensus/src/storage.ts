/**
 * @fileoverview Interface of the durable state of a replica.
 */
import {type Entry, type SnapshotHeader} from '@dogwoodtrestle/schema';

/** Raft state that must be durable before any message that depends on it. */
export interface HardState {
  term: number;
  /** Id of the candidate that this replica voted for in `term`. */
  votedFor?: string;
}

/** A snapshot of the state machine as JSON text. */
export interface StoredSnapshot {
  header: SnapshotHeader;
  text: string;
}

/** Stored state that a replica loads when it opens. */
export interface StoredState {
  hardState: HardState;
  snapshot?: StoredSnapshot;
  /** Consecutive entries; the first may precede the snapshot. */
  entries: Entry[];
}

/** Entries missing in the history: after `afterIndex`, up to `lastIndex`. */
export interface HistoryGap {
  afterIndex: number;
  lastIndex: number;
}

/**
 * Durable state of one replica. Each write is durable once its promise
 * resolves. The replica runs one operation at a time.
 */
export interface Storage {
  /** Generated when the storage was created; never changes. */
  readonly identity: string;
  /** Loads the stored state. */
  load(): Promise<StoredState>;
  /** Replaces the term and the vote. */
  saveHardState(hardState: HardState): Promise<void>;
  /**
   * Appends entries; they replace all entries from the first one's index on.
   */
  append(entries: readonly Entry[]): Promise<void>;
  /**
   * Saves a snapshot of this replica's own state. Entries up to `keepAfter`
   * need no longer be loaded, but `history` still returns them.
   */
  saveSnapshot(snapshot: StoredSnapshot, keepAfter: number): Promise<void>;
  /**
   * Saves a snapshot received from the leader and discards the log. `history`
   * still returns entries up to `committedIndex`.
   */
  installSnapshot(
    snapshot: StoredSnapshot,
    committedIndex: number,
  ): Promise<void>;
  /** Returns the first gap in the history up to an index, if there is one. */
  historyGap(lastIndex: number): Promise<HistoryGap | undefined>;
  /**
   * Adds older committed entries, fetched from another replica, to the history.
   */
  addHistory(entries: readonly Entry[]): Promise<void>;
  /** Returns the latest snapshot, if there is one. */
  readSnapshot(): Promise<StoredSnapshot | undefined>;
  /**
   * Returns at most `limit` entries after `afterIndex` up to `lastIndex`,
   * oldest first.
   */
  history(
    afterIndex: number,
    limit: number,
    lastIndex: number,
  ): Promise<Entry[]>;
  /** Closes all files. */
  close(): Promise<void>;
}
