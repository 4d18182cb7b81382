/**
 * @fileoverview Applies committed entries and takes snapshots.
 */
import {type ReplicaState} from './replicaState.js';

/** Drives the state machine of a replica. */
export class Applier {
  private isSaving = false;

  constructor(private readonly state: ReplicaState) {}

  /** Takes entries up to an index as committed, and applies them. */
  advance(commitIndex: number): void {
    const {state} = this;
    const target = Math.min(commitIndex, state.log.lastIndex);
    if (state.isStopped || target <= state.commitIndex) return;
    state.commitIndex = target;
    try {
      while (state.lastApplied < state.commitIndex && !state.isStopped) {
        this.applyNext();
      }
      this.snapshotIfDue();
    } catch (error) {
      state.fail(error);
    }
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
    state.leadership?.onApplied(entry, results);
  }

  private snapshotIfDue(): void {
    const {state} = this;
    const {snapshotEveryEntries, trailingEntries, stateMachine} = state.options;
    const age = state.lastApplied - state.snapshotIndex;
    if (this.isSaving || state.isStopped || age < snapshotEveryEntries) return;
    this.isSaving = true;
    const header = state.log.headerAt(state.lastApplied);
    const text = JSON.stringify(stateMachine.snapshot());
    const keepAfter = Math.max(0, header.index - trailingEntries);
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
}
