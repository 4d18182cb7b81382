/**
 * @fileoverview Handles the leader's messages on a follower.
 */
import {
  type AppendReply,
  type AppendRequest,
  type ElectionOrder,
  type ElectionReply,
  type Entry,
  type Member,
  type SnapshotChunk,
  type SnapshotReply,
} from '@dogwoodtrestle/schema';

import {type Applier} from './applier.js';
import {type Election} from './election.js';
import {ProtocolViolation} from './errors.js';
import {type HistoryBackfill} from './historyBackfill.js';
import {type ReplicaState} from './replicaState.js';
import {SnapshotAssembly} from './snapshotAssembly.js';

/** Receives entries, snapshots and election orders from the leader. */
export class Follower {
  private readonly assembly = new SnapshotAssembly();

  constructor(
    private readonly state: ReplicaState,
    private readonly election: Election,
    private readonly applier: Applier,
    private readonly backfill: HistoryBackfill,
  ) {}

  /** Appends entries; a successful reply is sent only once they are durable. */
  async receiveAppend(request: AppendRequest): Promise<AppendReply> {
    const {state} = this;
    if (!this.acceptLeader(request.term, request.leader)) {
      return this.rejection(state.log.lastIndex + 1);
    }
    const {previousIndex, previousTerm} = request;
    const {log} = state;
    if (previousIndex > log.lastIndex) return this.rejection(log.lastIndex + 1);
    const isBeforeBase = previousIndex < log.baseIndex;
    if (!isBeforeBase && log.termAt(previousIndex) !== previousTerm) {
      return this.rejection(log.firstIndexOfTermAt(previousIndex));
    }
    const newEntries = this.newEntries(request.entries);
    const matchIndex = previousIndex + request.entries.length;
    log.append(newEntries);
    const written = state.writer.append(newEntries);
    this.applier.advance(Math.min(request.commitIndex, matchIndex));
    await this.waitUntilDurable(written, matchIndex);
    if (state.term !== request.term) return this.rejection(log.lastIndex + 1);
    return {
      kind: 'append',
      term: state.term,
      success: true,
      matchIndex,
      nextIndex: matchIndex + 1,
    };
  }

  /** Assembles the chunks of a snapshot and installs it after the last one. */
  async receiveSnapshot(chunk: SnapshotChunk): Promise<SnapshotReply> {
    const {state} = this;
    if (!this.acceptLeader(chunk.term, chunk.leader)) {
      return this.snapshotReply(0, 0);
    }
    const {index, term} = chunk.snapshot;
    if (index <= state.commitIndex || state.log.termAt(index) === term) {
      this.applier.advance(index);
      await this.waitUntilDurable(Promise.resolve(), index);
      return this.snapshotReply(index, chunk.length);
    }
    const text = this.assembly.add(chunk);
    if (text === undefined) return this.snapshotReply(0, this.assembly.offset);
    await this.install(chunk, text);
    return this.snapshotReply(index, chunk.length);
  }

  /** Starts an election if the current leader ordered it. */
  receiveElectionOrder(order: ElectionOrder): ElectionReply {
    const {state} = this;
    if (order.term === state.term && order.from === state.leader?.id) {
      state.lastLeaderContact = -Infinity;
      void this.election.campaign(true).catch(() => undefined);
    }
    return {kind: 'elect', term: state.term};
  }

  private async install(chunk: SnapshotChunk, text: string): Promise<void> {
    const {state} = this;
    const {snapshot: header} = chunk;
    const committedIndex = state.commitIndex;
    try {
      state.options.stateMachine.restore(JSON.parse(text));
    } catch (error) {
      state.fail(error);
      throw error;
    }
    state.log.reset(header);
    state.commitIndex = header.index;
    state.lastApplied = header.index;
    state.snapshotIndex = header.index;
    await state.writer.installSnapshot({header, text}, committedIndex);
    this.backfill.start();
  }

  /**
   * Becomes a follower of the sender; returns false if its term is outdated.
   * Throws `ProtocolViolation` if this replica leads in the same term.
   */
  private acceptLeader(term: number, leader: Member): boolean {
    const {state} = this;
    if (term < state.term) return false;
    if (term === state.term && state.leadership !== undefined) {
      throw new ProtocolViolation(`two leaders in term ${term}`);
    }
    void state.becomeFollower(term, leader);
    state.lastLeaderContact = state.options.clock.now();
    this.election.onLeaderContact();
    return true;
  }

  /**
   * Returns the entries from the first one on that is missing in this log or
   * conflicts with it. Throws `ProtocolViolation` if that would replace a
   * committed entry.
   */
  private newEntries(entries: readonly Entry[]): Entry[] {
    const {log, commitIndex} = this.state;
    const first = entries.findIndex(
      entry =>
        entry.index > log.baseIndex && log.termAt(entry.index) !== entry.term,
    );
    if (first < 0) return [];
    const newEntries = entries.slice(first);
    if ((newEntries[0]?.index ?? Infinity) <= commitIndex) {
      throw new ProtocolViolation(
        `the leader tried to replace committed entry ${newEntries[0]?.index}`,
      );
    }
    return newEntries;
  }

  /** Resolves once a write and all entries up to an index are durable. */
  private async waitUntilDurable(
    written: Promise<void>,
    index: number,
  ): Promise<void> {
    await written;
    const {writer} = this.state;
    if (writer.durableIndex < index) await writer.enqueue(async () => {});
  }

  private rejection(nextIndex: number): AppendReply {
    const {term} = this.state;
    return {kind: 'append', term, success: false, matchIndex: 0, nextIndex};
  }

  private snapshotReply(matchIndex: number, nextOffset: number): SnapshotReply {
    return {kind: 'snapshot', term: this.state.term, matchIndex, nextOffset};
  }
}
