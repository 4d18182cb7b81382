/**
 * @fileoverview State that is shared by the components of one replica.
 */
import {type Entry, type Member} from '@dogwoodtrestle/schema';

import {Stopped} from './errors.js';
import {Log} from './log.js';
import {LogWriter} from './logWriter.js';
import {type ReplicaOptions} from './replicaOptions.js';
import {type StoredState} from './storage.js';

/** Role of a replica in its group. */
export type Role = 'leader' | 'candidate' | 'follower' | 'learner';

/** Leader state that exists only while the replica leads in its term. */
export interface LeadershipHandle {
  /**
   * Monotonic time in milliseconds up to which a majority has confirmed this
   * leadership: the state machine has all that was committed before it. Undefined
   * until an entry of the own term is applied.
   */
  readonly confirmedAt: number | undefined;
  /** Monotonic time in milliseconds of its election. */
  readonly startedAt: number;
  /** Whether a majority of the voters answered within the election timeout. */
  hasQuorum(): boolean;
  /** Called after each applied entry with the results of its commands. */
  onApplied(entry: Entry, results: unknown[]): void;
  /** Rejects all pending operations. */
  end(): void;
}

/** Term, vote, role, log and log positions of one replica. */
export class ReplicaState {
  readonly log = new Log();
  readonly writer: LogWriter;
  term: number;
  votedFor?: string;
  role: Role = 'follower';
  leader?: Member;
  /** Monotonic time in milliseconds of the last message from a leader. */
  lastLeaderContact = -Infinity;
  leadership?: LeadershipHandle;
  commitIndex: number;
  lastApplied: number;
  snapshotIndex: number;
  isStopped = false;
  private hardStateWrite?: Promise<void>;

  constructor(
    readonly options: ReplicaOptions,
    stored: StoredState,
  ) {
    this.term = stored.hardState.term;
    this.votedFor = stored.hardState.votedFor;
    this.snapshotIndex = stored.snapshot?.header.index ?? 0;
    this.commitIndex = this.snapshotIndex;
    this.lastApplied = this.snapshotIndex;
    this.loadLog(stored);
    this.writer = new LogWriter(
      options.storage,
      this.log.lastIndex,
      (error: unknown) => this.fail(error),
    );
  }

  get id(): string {
    return this.options.member.id;
  }

  /** Voters of the latest membership, committed or not. */
  get voters(): Member[] {
    return this.log.members.filter(member => member.role === 'voter');
  }

  /** Whether this replica is a voter of the latest membership. */
  get isVoter(): boolean {
    return this.voters.some(member => member.id === this.id);
  }

  /** This replica's entry in the latest membership, or its own options. */
  get self(): Member {
    return (
      this.log.members.find(member => member.id === this.id) ??
      this.options.member
    );
  }

  /** Whether there was contact with a leader within the election timeout. */
  get hasRecentLeaderContact(): boolean {
    if (this.leadership !== undefined) return this.leadership.hasQuorum();
    const age = this.options.clock.now() - this.lastLeaderContact;
    return age < this.options.electionTimeoutMilliseconds;
  }

  /**
   * Becomes a follower in a term that isn't older than the current one and ends
   * this replica's own leadership. Resolves once a newer term is durable.
   */
  becomeFollower(term: number, leader?: Member): Promise<void> {
    const isNewerTerm = term > this.term && !this.isStopped;
    if (isNewerTerm) {
      this.term = term;
      this.votedFor = undefined;
    }
    this.role = 'follower';
    this.leader = leader ?? (isNewerTerm ? undefined : this.leader);
    if (this.leader?.id === this.id) this.leader = undefined;
    const leadership = this.leadership;
    this.leadership = undefined;
    leadership?.end();
    return isNewerTerm ? this.saveHardState() : Promise.resolve();
  }

  /**
   * Makes the current term and vote durable, or newer ones if they change
   * before the write starts.
   */
  saveHardState(): Promise<void> {
    this.hardStateWrite ??= this.writer.enqueue(storage => {
      this.hardStateWrite = undefined;
      const {term, votedFor} = this;
      return storage.saveHardState({term, votedFor});
    });
    return this.hardStateWrite;
  }

  /**
   * Whether a log that ends at the given position is at least as up-to-date as
   * this one (Raft's election restriction).
   */
  isLogUpToDate(lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.log.lastTerm) return lastTerm > this.log.lastTerm;
    return lastIndex >= this.log.lastIndex;
  }

  /** Stops the replica because of an error that it can't recover from. */
  fail(error: unknown): void {
    if (this.isStopped) return;
    this.stop();
    this.options.onFailure(error);
  }

  /** Ends all activity. */
  stop(): void {
    this.isStopped = true;
    void this.becomeFollower(this.term);
  }

  /** Throws `Stopped` if the replica was stopped. */
  assertRunning(): void {
    if (this.isStopped) throw new Stopped('the replica was stopped');
  }

  private loadLog({snapshot, entries}: StoredState): void {
    const [first] = entries;
    if (snapshot === undefined) {
      this.log.append(entries);
    } else if (first === undefined || first.index > snapshot.header.index) {
      this.log.reset(snapshot.header);
      this.log.append(entries);
    } else {
      const {index, term, timestamp} = first;
      const {members} = snapshot.header;
      this.log.reset({index, term, timestamp, members});
      this.log.append(entries.slice(1));
    }
  }
}
