/**
 * @fileoverview Applies committed entries and takes snapshots.
 */
import {type ReplicaState} from './replicaState.js';
import {encodedLength} from './util/encodedEntry.js';

/** Applies committed entries to the state machine of a replica. */
export class Applier {
  private isSnapshotting = false;
  private isResumeScheduled = false;
  private bytesSinceSnapshot = 0;

  constructor(private readonly state: ReplicaState) {}

  /** Advances the commit index, at most to the last entry, and applies. */
  advance(commitIndex: number): void {
    const {state} = this;
    const target = Math.min(commitIndex, state.log.lastIndex);
    if (state.isStopped || target <= state.commitIndex) return;
    state.commitIndex = target;
    if (!this.isResumeScheduled) this.applyPending();
  }

  /**
   * Applies committed entries. A long backlog, for example after a restart, is
   * applied in slices, so that heartbeats are answered in between.
   */
  private applyPending(): void {
    const {state} = this;
    const {clock, maxApplyMilliseconds} = state.options;
    const deadline = clock.now() + maxApplyMilliseconds;
    this.isResumeScheduled = false;
    try {
      while (state.lastApplied < state.commitIndex && !state.isStopped) {
        if (clock.now() > deadline) {
          this.scheduleResume();
          break;
        }
        this.applyNext();
      }
      this.snapshotIfDue();
    } catch (error) {
      state.fail(error);
    }
  }

  private scheduleResume(): void {
    this.isResumeScheduled = true;
    this.state.options.clock.setTimer(0, () => this.applyPending());
  }

  private applyNext(): void {
    const {state} = this;
    const entry = state.log.entryAt(state.lastApplied + 1);
    if (entry === undefined) {
      throw new Error(`entry ${state.lastApplied + 1} is missing`);
    }
    const results =
      entry.kind === 'commands' ? state.options.stateMachine.apply(entry) : [];
    state.lastApplied = entry.index;
    this.bytesSinceSnapshot += encodedLength(entry);
    state.leadership?.onApplied(entry, results);
  }

  private snapshotIfDue(): void {
    const {state} = this;
    if (this.isSnapshotting || state.isStopped || !this.isSnapshotDue()) return;
    this.isSnapshotting = true;
    this.bytesSinceSnapshot = 0;
    const header = state.log.snapshotHeaderAt(state.lastApplied);
    const text = JSON.stringify(state.options.stateMachine.snapshot());
    const keepAfter = this.compactionIndex(header.index);
    state.writer
      .enqueue(storage => storage.saveSnapshot({header, text}, keepAfter))
      .then(() => {
        state.snapshotIndex = Math.max(state.snapshotIndex, header.index);
        state.log.compact(keepAfter);
      })
      .catch(() => undefined) // reported by the writer
      .finally(() => {
        this.isSnapshotting = false;
      });
  }

  private isSnapshotDue(): boolean {
    const {lastApplied, snapshotIndex, options} = this.state;
    const entries = lastApplied - snapshotIndex;
    return (
      entries >= options.snapshotEveryEntries ||
      this.bytesSinceSnapshot >= options.snapshotEveryBytes
    );
  }

  /** Returns the index after which entries are kept for lagging followers. */
  private compactionIndex(snapshotIndex: number): number {
    const {log, options} = this.state;
    const first = Math.max(0, snapshotIndex - options.trailingEntries);
    let index = snapshotIndex;
    let bytes = 0;
    while (index > first) {
      const entry = log.entryAt(index);
      if (entry === undefined) break;
      bytes += encodedLength(entry);
      if (bytes > options.trailingBytes) break;
      index--;
    }
    return index;
  }
}
