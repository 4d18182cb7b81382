/**
 * @fileoverview Leader of one term.
 */
import {type Entry, type Member} from '@dogwoodtrestle/schema';

import {type Applier} from './applier.js';
import {mostUpToDateVoter, sendElectionOrder} from './electionOrder.js';
import {NotLeader, OutcomeUnknown, Stopped} from './errors.js';
import {ProposalQueue} from './proposalQueue.js';
import {ReadBarriers} from './readBarriers.js';
import {type LeadershipHandle, type ReplicaState} from './replicaState.js';
import {Replicator, type ReplicatorHost} from './replicator.js';
import {type Deferred, deferred} from './util/deferred.js';
import {encodeFromCommands} from './util/encodedEntry.js';
import {majorityValue} from './util/quorum.js';

/** Appends, replicates and commits entries, and confirms linearizable reads. */
export class Leadership implements LeadershipHandle, ReplicatorHost {
  readonly term: number;
  round = 0;
  isEnded = false;
  /** Whether a leadership transfer is in progress; proposals are rejected. */
  isTransferring = false;
  readonly replicators = new Map<string, Replicator>();
  private readonly proposals: ProposalQueue;
  private readonly barriers = new ReadBarriers();
  private readonly commitWaiters = new Map<number, Deferred<void>>();
  readonly startedAt: number;
  private readonly startTimestamp: number;
  private firstIndex = 0;
  private cancelHeartbeat?: () => void;

  constructor(
    private readonly state: ReplicaState,
    private readonly applier: Applier,
  ) {
    const {clock, maxEntryCommands, maxMessageBytes} = state.options;
    this.term = state.term;
    this.startedAt = clock.now();
    this.startTimestamp = state.log.lastTimestamp;
    this.proposals = new ProposalQueue(maxEntryCommands, maxMessageBytes);
  }

  /**
   * Starts to replicate. Appends a no-op entry, because only an entry of the
   * leader's own term can be committed by counting replicas; it commits all
   * earlier entries with it (section 3.6.2 of the Raft dissertation).
   */
  start(): void {
    this.updateReplicators();
    this.firstIndex = this.append({kind: 'noop'}).index;
    this.scheduleHeartbeat();
  }

  /** Whether an entry of this leadership's term is committed. */
  get hasCommitted(): boolean {
    return this.state.commitIndex >= this.firstIndex;
  }

  /** Appends commands and resolves with their results once they are applied. */
  propose(commands: readonly unknown[]): Promise<unknown[]> {
    if (this.isTransferring || !this.checkQuorum()) {
      return Promise.reject(this.notLeaderError());
    }
    const results = this.proposals.add(commands);
    this.appendBatch();
    return results;
  }

  /**
   * Resolves with the read index once a majority has confirmed this leadership
   * and the state machine has applied the index.
   */
  barrier(): Promise<number> {
    if (!this.checkQuorum()) return Promise.reject(this.notLeaderError());
    const readIndex = Math.max(this.state.commitIndex, this.firstIndex);
    const confirmed = this.barriers.add(++this.round, readIndex);
    this.replicate();
    this.releaseBarriers();
    return confirmed;
  }

  /** Appends a new membership and resolves once it is committed and applied. */
  changeMembers(members: Member[]): Promise<void> {
    const {index} = this.append({kind: 'membership', members});
    const waiter = deferred<void>();
    this.commitWaiters.set(index, waiter);
    return waiter.promise;
  }

  get confirmedAt(): number | undefined {
    const {lastApplied, options} = this.state;
    if (this.isEnded || lastApplied < this.firstIndex) return undefined;
    return this.quorumValue(
      replicator => replicator.lastContact,
      options.clock.now(),
    );
  }

  hasQuorum(): boolean {
    const {clock, electionTimeoutMilliseconds} = this.state.options;
    const contact = this.quorumValue(
      replicator => replicator.lastContact,
      clock.now(),
    );
    return clock.now() - contact <= electionTimeoutMilliseconds;
  }

  checkQuorum(): boolean {
    if (this.isEnded) return false;
    if (this.hasQuorum()) return true;
    void this.state.becomeFollower(this.term);
    return false;
  }

  onProgress(): void {
    this.advanceCommitIndex();
    this.releaseBarriers();
  }

  onApplied(entry: Entry, results: unknown[]): void {
    this.proposals.resolve(entry, results);
    this.commitWaiters.get(entry.index)?.resolve();
    this.commitWaiters.delete(entry.index);
    if (this.barriers.hasPending) this.releaseBarriers();
    if (entry.kind === 'membership' && entry.term === this.term) {
      this.onMembershipCommitted(entry);
    }
  }

  end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.cancelHeartbeat?.();
    const notAppended = this.state.isStopped
      ? new Stopped('the replica was stopped')
      : this.notLeaderError();
    this.proposals.rejectAll(notAppended);
    this.barriers.rejectAll(notAppended);
    const error = new OutcomeUnknown('leadership ended');
    for (const waiter of this.commitWaiters.values()) waiter.reject(error);
    this.commitWaiters.clear();
  }

  private append(body: Pick<Entry, 'kind' | 'commands' | 'members'>): Entry {
    const {log, writer} = this.state;
    const entry: Entry = {
      index: log.lastIndex + 1,
      term: this.term,
      timestamp: this.nextTimestamp(),
      ...body,
    };
    log.append([entry]);
    if (entry.kind === 'membership') this.updateReplicators();
    writer.append([entry]).then(
      () => this.onDurable(),
      () => undefined, // reported by the writer
    );
    this.replicate();
    return entry;
  }

  /**
   * Appends the next batch of proposals. While a write is in progress,
   * proposals are collected for the batch after it.
   */
  private appendBatch(): void {
    const {log, writer} = this.state;
    if (writer.isAppending) return;
    const batch = this.proposals.takeBatch(log.lastIndex + 1);
    if (batch === undefined) return;
    const entry = this.append({kind: 'commands', commands: batch.commands});
    encodeFromCommands(entry, batch.texts);
  }

  private onDurable(): void {
    if (!this.checkQuorum()) return;
    this.onProgress();
    if (!this.isEnded) this.appendBatch();
  }

  /**
   * Advances the commit index to what a majority has stored, but only to an
   * entry of the leader's own term.
   */
  private advanceCommitIndex(): void {
    const {log, writer, commitIndex} = this.state;
    const index = this.quorumValue(
      replicator => replicator.matchIndex,
      writer.durableIndex,
    );
    if (index <= commitIndex || log.termAt(index) !== this.term) return;
    this.applier.advance(index);
  }

  private releaseBarriers(): void {
    const round = this.quorumValue(
      replicator => replicator.confirmedRound,
      this.round,
    );
    this.barriers.release(round, this.state.lastApplied);
  }

  /** Returns the largest value that a majority of the voters has reached. */
  private quorumValue(
    valueOf: (replicator: Replicator) => number,
    ownValue: number,
  ): number {
    const values = this.state.voters.map(voter => {
      if (voter.id === this.state.id) return ownValue;
      const replicator = this.replicators.get(voter.id);
      return replicator === undefined ? 0 : valueOf(replicator);
    });
    return majorityValue(values);
  }

  /**
   * Returns a timestamp in milliseconds that continues from the last entry's
   * timestamp by the monotonic clock and never decreases.
   */
  private nextTimestamp(): number {
    const elapsed = this.state.options.clock.now() - this.startedAt;
    const time = Math.floor(this.startTimestamp + elapsed);
    return Math.max(time, this.state.log.lastTimestamp);
  }

  private replicate(): void {
    for (const replicator of this.replicators.values()) replicator.send();
  }

  private scheduleHeartbeat(): void {
    const {clock, heartbeatIntervalMilliseconds} = this.state.options;
    this.cancelHeartbeat = clock.setTimer(heartbeatIntervalMilliseconds, () => {
      if (!this.checkQuorum()) return;
      this.replicate();
      this.scheduleHeartbeat();
    });
  }

  /**
   * Adds replicators for new members. Those of removed members are kept until
   * the membership change is committed.
   */
  private updateReplicators(): void {
    for (const member of this.state.log.members) {
      if (member.id === this.state.id || this.replicators.has(member.id)) {
        continue;
      }
      this.replicators.set(member.id, new Replicator(member, this.state, this));
    }
  }

  /**
   * Sends removed members the commit index and drops their replicators. A
   * removed leader steps down and makes another voter start an election.
   */
  private onMembershipCommitted(entry: Entry): void {
    const ids = new Set(entry.members?.map(member => member.id));
    for (const [id, replicator] of this.replicators) {
      if (ids.has(id)) continue;
      replicator.send();
      this.replicators.delete(id);
    }
    if (ids.has(this.state.id)) return;
    const successor = mostUpToDateVoter(this.state, this.replicators);
    void this.state.becomeFollower(this.term);
    if (successor !== undefined) sendElectionOrder(this.state, successor);
  }

  private notLeaderError(): Error {
    const {leader} = this.state;
    return new NotLeader('this replica is not the leader', {props: {leader}});
  }
}
