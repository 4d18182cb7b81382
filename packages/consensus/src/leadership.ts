/**
 * @fileoverview What a replica does while it leads, in one term.
 */
import {type Entry, type Member} from '@dogwoodtrestle/schema';

import {type Applier} from './applier.js';
import {longestLog, orderElection} from './electionOrder.js';
import {NotLeader, OutcomeUnknown, Stopped} from './errors.js';
import {ProposalQueue} from './proposalQueue.js';
import {ReadBarriers} from './readBarriers.js';
import {type LeadershipHandle, type ReplicaState} from './replicaState.js';
import {Replicator, type ReplicatorHost} from './replicator.js';
import {type Deferred, deferred} from './util/deferred.js';
import {encodeWithCommands} from './util/encodedEntry.js';
import {majorityValue} from './util/quorum.js';

/** Appends, replicates and commits entries, and confirms reads. */
export class Leadership implements LeadershipHandle, ReplicatorHost {
  readonly term: number;
  round = 0;
  isEnded = false;
  /** Whether leadership is being handed over, so that no proposal is taken. */
  isHandingOver = false;
  readonly replicators = new Map<string, Replicator>();
  private readonly proposals: ProposalQueue;
  private readonly barriers = new ReadBarriers();
  private readonly commitWaiters = new Map<number, Deferred<void>>();
  private readonly startedAt: number;
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

  /** Commits an entry of the own term, which commits all earlier ones. */
  start(): void {
    this.updateReplicators();
    this.firstIndex = this.append({kind: 'noop'}).index;
    this.scheduleHeartbeat();
  }

  /** Whether an entry of this leadership's term is committed. */
  get hasCommitted(): boolean {
    return this.state.commitIndex >= this.firstIndex;
  }

  propose(commands: readonly unknown[]): Promise<unknown[]> {
    if (this.isHandingOver || !this.checkQuorum()) {
      return Promise.reject(this.notLeader());
    }
    const results = this.proposals.add(commands);
    this.appendBatch();
    return results;
  }

  barrier(): Promise<number> {
    if (!this.checkQuorum()) return Promise.reject(this.notLeader());
    const readIndex = Math.max(this.state.commitIndex, this.firstIndex);
    const confirmed = this.barriers.add(++this.round, readIndex);
    this.replicate();
    this.releaseBarriers();
    return confirmed;
  }

  /** Appends new members and resolves once they are committed. */
  changeMembers(members: Member[]): Promise<void> {
    const {index} = this.append({kind: 'membership', members});
    const waiter = deferred<void>();
    this.commitWaiters.set(index, waiter);
    return waiter.promise;
  }

  isFresh(): boolean {
    const {clock, electionTimeoutMilliseconds} = this.state.options;
    const contact = this.majority(
      replicator => replicator.contact,
      clock.now(),
    );
    return clock.now() - contact <= electionTimeoutMilliseconds;
  }

  checkQuorum(): boolean {
    if (this.isEnded) return false;
    if (this.isFresh()) return true;
    void this.state.follow(this.term);
    return false;
  }

  onProgress(): void {
    this.advanceCommit();
    this.releaseBarriers();
  }

  onApplied(entry: Entry, results: unknown[]): void {
    this.proposals.resolve(entry, results);
    this.commitWaiters.get(entry.index)?.resolve();
    this.commitWaiters.delete(entry.index);
    if (this.barriers.isWaiting) this.releaseBarriers();
    if (entry.kind === 'membership' && entry.term === this.term) {
      this.afterMembership(entry);
    }
  }

  end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.cancelHeartbeat?.();
    const notAppended = this.state.isStopped
      ? new Stopped('the replica was stopped')
      : this.notLeader();
    this.proposals.rejectAll(notAppended);
    this.barriers.rejectAll(notAppended);
    const unknown = new OutcomeUnknown('leadership ended');
    for (const waiter of this.commitWaiters.values()) waiter.reject(unknown);
    this.commitWaiters.clear();
  }

  private append(body: Pick<Entry, 'kind' | 'commands' | 'members'>): Entry {
    const {log, writer} = this.state;
    const entry: Entry = {
      index: log.lastIndex + 1,
      term: this.term,
      timestamp: this.ledgerTime(),
      ...body,
    };
    log.append([entry]);
    if (entry.kind === 'membership') this.updateReplicators();
    writer.append([entry]).then(
      () => this.onDurable(),
      () => undefined, // the writer reports it
    );
    this.replicate();
    return entry;
  }

  /** Appends what waits, unless a write is under way that it can follow. */
  private appendBatch(): void {
    const {log, writer} = this.state;
    if (writer.isAppending) return;
    const batch = this.proposals.takeBatch(log.lastIndex + 1);
    if (batch === undefined) return;
    const entry = this.append({kind: 'commands', commands: batch.commands});
    encodeWithCommands(entry, batch.texts);
  }

  private onDurable(): void {
    if (!this.checkQuorum()) return;
    this.onProgress();
    if (!this.isEnded) this.appendBatch();
  }

  /** Commits by majority, but only entries of the own term. */
  private advanceCommit(): void {
    const {log, writer, commitIndex} = this.state;
    const index = this.majority(
      replicator => replicator.matchIndex,
      writer.durableIndex,
    );
    if (index <= commitIndex || log.termAt(index) !== this.term) return;
    this.applier.advance(index);
  }

  private releaseBarriers(): void {
    const round = this.majority(
      replicator => replicator.confirmedRound,
      this.round,
    );
    this.barriers.release(round, this.state.lastApplied);
  }

  /** Largest value that a majority of the voters has reached. */
  private majority(
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

  /** Continues from the newest entry's time by the monotonic clock. */
  private ledgerTime(): number {
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

  /** Adds replicators for new members; removed ones go after the commit. */
  private updateReplicators(): void {
    for (const member of this.state.log.members) {
      if (member.id === this.state.id || this.replicators.has(member.id)) {
        continue;
      }
      this.replicators.set(member.id, new Replicator(member, this.state, this));
    }
  }

  /**
   * Tells removed members of the commit. A removed leader steps down, and lets
   * another voter take over at once.
   */
  private afterMembership(entry: Entry): void {
    const ids = new Set(entry.members?.map(member => member.id));
    for (const [id, replicator] of this.replicators) {
      if (ids.has(id)) continue;
      replicator.send();
      this.replicators.delete(id);
    }
    if (ids.has(this.state.id)) return;
    const successor = longestLog(this.state, this.replicators);
    void this.state.follow(this.term);
    if (successor !== undefined) orderElection(this.state, successor);
  }

  private notLeader(): Error {
    const {leader} = this.state;
    return new NotLeader('this replica does not lead', {props: {leader}});
  }
}
