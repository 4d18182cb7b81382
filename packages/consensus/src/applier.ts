/**
 * @fileoverview Applies committed entries and takes snapshots.
 */
import {type ReplicaState} from './replicaState.js';
import {encodedLength} from './util/encodedEntry.js';

/** Drives the state machine of a replica. */
export class Applier {
  private isSaving = false;
  private isContinuing = false;
  private bytesSinceSnapshot = 0;

  constructor(private readonly state: ReplicaState) {}

  /** Takes entries up to an index as committed, and applies them. */
  advance(commitIndex: number): void {
    const {state} = this;
    const target = Math.min(commitIndex, state.log.lastIndex);
    if (state.isStopped || target <= state.commitIndex) return;
    state.commitIndex = target;
    if (!this.isContinuing) this.applyPending();
  }

  /**
   * Applies what is committed. A long backlog, as after a restart, is applied
   * in turns, so that heartbeats are answered meanwhile.
   */
  private applyPending(): void {
    const {state} = this;
    const {clock, maxApplyMilliseconds} = state.options;
    const turnEnd = clock.now() + maxApplyMilliseconds;
    this.isContinuing = false;
    try {
      while (state.lastApplied < state.commitIndex && !state.isStopped) {
        if (clock.now() > turnEnd) {
          this.continueLater();
          break;
        }
        this.applyNext();
      }
      this.snapshotIfDue();
    } catch (error) {
      state.fail(error);
    }
  }

  private continueLater(): void {
    this.isContinuing = true;
    this.state.options.clock.setTimer(0, () => this.applyPending());
  }

  private applyNext(): void {
    const {state} = this;
    const entry = state.log.at(state.lastApplied + 1);
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
    if (this.isSaving || state.isStopped || !this.isSnapshotDue()) return;
    this.isSaving = true;
    this.bytesSinceSnapshot = 0;
    const header = state.log.headerAt(state.lastApplied);
    const text = JSON.stringify(state.options.stateMachine.snapshot());
    const keepAfter = this.trailingStart(header.index);
    state.writer
      .enqueue(storage => storage.saveSnapshot({header, text}, keepAfter))
      .then(() => {
        state.snapshotIndex = Math.max(state.snapshotIndex, header.index);
        state.log.compact(keepAfter);
      })
      .catch(() => undefined) // the writer reports it
      .finally(() => {
        this.isSaving = false;
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

  /** Index after which entries are kept for followers that lag. */
  private trailingStart(snapshotIndex: number): number {
    const {log, options} = this.state;
    const first = Math.max(0, snapshotIndex - options.trailingEntries);
    let index = snapshotIndex;
    let bytes = 0;
    while (index > first) {
      const entry = log.at(index);
      if (entry === undefined) break;
      bytes += encodedLength(entry);
      if (bytes > options.trailingBytes) break;
      index--;
    }
    return index;
  }
}
