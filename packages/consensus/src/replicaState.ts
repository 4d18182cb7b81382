/**
 * @fileoverview State that all parts of one replica share.
 */
import {type Entry, type Member} from '@dogwoodtrestle/schema';

import {Stopped} from './errors.js';
import {Log} from './log.js';
import {LogWriter} from './logWriter.js';
import {type ReplicaOptions} from './replicaOptions.js';
import {type StoredState} from './storage.js';

/** What the replica does in the group. */
export type Role = 'leader' | 'candidate' | 'follower' | 'learner';

/** The part of a leader's state that ends with its term. */
export interface LeadershipHandle {
  /** Whether a majority answered within the election timeout. */
  isFresh(): boolean;
  onApplied(entry: Entry, results: unknown[]): void;
  /** Rejects everything that waits; the leader of the new term may be known. */
  end(): void;
}

/** Term, vote, role, log and positions of one replica. */
export class ReplicaState {
  readonly log = new Log();
  readonly writer: LogWriter;
  term: number;
  votedFor?: string;
  role: Role = 'follower';
  leader?: Member;
  /** Monotonic time of the newest message from a leader. */
  leaderContact = -Infinity;
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

  /** Voters of the newest members, committed or not. */
  get voters(): Member[] {
    return this.log.members.filter(member => member.role === 'voter');
  }

  get isVoter(): boolean {
    return this.voters.some(member => member.id === this.id);
  }

  /** This replica as the members know it. */
  get self(): Member {
    return (
      this.log.members.find(member => member.id === this.id) ??
      this.options.member
    );
  }

  /** Whether a leader was heard of within the shortest election timeout. */
  get hasFreshLeader(): boolean {
    if (this.leadership !== undefined) return this.leadership.isFresh();
    const age = this.options.clock.now() - this.leaderContact;
    return age < this.options.electionTimeoutMilliseconds;
  }

  /**
   * Follows in a term that isn't older than the current one, and ends an own
   * leadership. Resolves once a new term is durable.
   */
  follow(term: number, leader?: Member): Promise<void> {
    const isNewTerm = term > this.term && !this.isStopped;
    if (isNewTerm) {
      this.term = term;
      this.votedFor = undefined;
    }
    this.role = 'follower';
    this.leader = leader ?? (isNewTerm ? undefined : this.leader);
    if (this.leader?.id === this.id) this.leader = undefined;
    const leadership = this.leadership;
    this.leadership = undefined;
    leadership?.end();
    return isNewTerm ? this.saveHardState() : Promise.resolve();
  }

  /** Makes the term and the vote durable, at least as new as they are now. */
  saveHardState(): Promise<void> {
    this.hardStateWrite ??= this.writer.enqueue(storage => {
      this.hardStateWrite = undefined;
      const {term, votedFor} = this;
      return storage.saveHardState({term, votedFor});
    });
    return this.hardStateWrite;
  }

  /** Whether a log that ends at a position is at least as new as this one. */
  isUpToDate(lastIndex: number, lastTerm: number): boolean {
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
    void this.follow(this.term);
  }

  /** Throws when the replica was stopped. */
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
