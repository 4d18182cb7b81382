/**
 * @fileoverview One replica of the replicated log.
 */
import {
  type ConsensusMessage,
  type ConsensusReply,
  type Entry,
  type Member,
} from '@dogwoodtrestle/schema';

import {Applier} from './applier.js';
import {Election} from './election.js';
import {
  IdentityMismatch,
  MembershipChangeRejected,
  NotLeader,
} from './errors.js';
import {Follower} from './follower.js';
import {HistoryBackfill} from './historyBackfill.js';
import {Leadership} from './leadership.js';
import {transferLeadership} from './leadershipTransfer.js';
import {addLearner, promote, removeMember} from './membershipChanges.js';
import {defaultOptions, type ReplicaOptions} from './replicaOptions.js';
import {ReplicaState, type Role} from './replicaState.js';

/**
 * Term of the membership that a group starts with. No leader has been elected in
 * it, so the first leader's term is the next one or a later one.
 */
export const bootstrapTerm = 1;

/** Options without a default, and any of the others. */
export type ReplicaInput = Partial<ReplicaOptions> &
  Pick<
    ReplicaOptions,
    'member' | 'storage' | 'stateMachine' | 'transport' | 'clock' | 'random'
  >;

/** Replication progress of another member, as seen by the leader. */
export interface PeerStatus {
  id: string;
  matchIndex: number;
  /** Milliseconds since the leader sent the last message that was answered. */
  lastContactMs: number;
}

/** State of a replica and its view of the group. */
export interface ReplicaStatus {
  id: string;
  role: Role;
  term: number;
  leader?: Member;
  commitIndex: number;
  lastApplied: number;
  members: Member[];
  /** The other members; empty unless this replica is the leader. */
  peers: PeerStatus[];
}

/** One handler for each kind of message. */
type MessageHandlers = {
  [K in ConsensusMessage['kind']]: (
    message: Extract<ConsensusMessage, {kind: K}>,
  ) => ConsensusReply | Promise<ConsensusReply>;
};

/** A replica of a log that drives a state machine. */
export class Replica {
  private readonly applier: Applier;
  private readonly election: Election;
  private readonly backfill: HistoryBackfill;
  private readonly handlers: MessageHandlers;

  private constructor(private readonly state: ReplicaState) {
    this.applier = new Applier(state);
    this.election = new Election(state, () => this.becomeLeader());
    this.backfill = new HistoryBackfill(state);
    const follower = new Follower(
      state,
      this.election,
      this.applier,
      this.backfill,
    );
    this.handlers = {
      vote: request => this.election.receive(request),
      append: request => follower.receiveAppend(request),
      snapshot: chunk => follower.receiveSnapshot(chunk),
      elect: order => follower.receiveElectionOrder(order),
      history: request => this.backfill.receive(request),
    };
  }

  /**
   * Loads the stored state. The replica answers messages from now on, but
   * starts no election before `start` is called. Rejects with
   * `IdentityMismatch` if the storage belongs to another member.
   */
  static async open(input: ReplicaInput): Promise<Replica> {
    const options = {...defaultOptions, ...input};
    const {member, storage, stateMachine} = options;
    if (member.id !== storage.identity) {
      throw new IdentityMismatch(
        `member id ${member.id} differs from storage identity ${storage.identity}`,
      );
    }
    const stored = await storage.load();
    if (stored.snapshot !== undefined) {
      stateMachine.restore(JSON.parse(stored.snapshot.text));
    }
    return new Replica(new ReplicaState(options, stored));
  }

  /** Starts the election timer and the history backfill. */
  start(): void {
    this.state.assertRunning();
    this.election.startTimer();
    this.backfill.start();
  }

  /** Stops all activity; resolves once the storage is closed. */
  async stop(): Promise<void> {
    this.state.stop();
    this.election.stop();
    await this.state.writer.close();
    await this.state.options.storage.close();
  }

  /**
   * Writes the first membership entry to an empty log. All initial members must
   * be given the same members in the same order. Rejects with
   * `MembershipChangeRejected` if this replica already belongs to a group.
   */
  async bootstrap(members: Member[]): Promise<void> {
    this.state.assertRunning();
    const {log, writer, term, votedFor} = this.state;
    if (log.lastIndex > 0 || term > 1 || votedFor !== undefined) {
      throw new MembershipChangeRejected(
        'the replica already belongs to a group',
      );
    }
    const entry: Entry = {
      index: 1,
      term: bootstrapTerm,
      timestamp: 0,
      kind: 'membership',
      members,
    };
    const termSaved = this.state.becomeFollower(entry.term);
    log.append([entry]);
    await Promise.all([termSaved, writer.append([entry])]);
  }

  /** Handles a message from another replica and resolves with the reply. */
  async receive(message: ConsensusMessage): Promise<ConsensusReply> {
    this.state.assertRunning();
    const {id} = this.state;
    if (message.to !== id) return {kind: 'wrongReplica', id};
    const handler = this.handlers[message.kind] as (
      message: ConsensusMessage,
    ) => ConsensusReply | Promise<ConsensusReply>;
    return handler(message);
  }

  /**
   * Commits commands (JSON values) and resolves with their results in order.
   * Rejects with `NotLeader` or `Stopped` if they were not appended, and with
   * `OutcomeUnknown` if they may or may not be committed.
   */
  async propose(commands: unknown[]): Promise<unknown[]> {
    return this.requireLeadership().propose(commands);
  }

  /**
   * Resolves with the read index of a linearizable read once the local state
   * machine has applied it (ReadIndex, section 6.4 of the Raft dissertation).
   * Rejects with `NotLeader` or `Stopped`.
   */
  async barrier(): Promise<number> {
    return this.requireLeadership().barrier();
  }

  /** Adds a member without a vote, as the first step to adding a voter. */
  async addLearner(member: Member): Promise<void> {
    await addLearner(this.state, this.requireLeadership(), member);
  }

  /** Promotes a learner that has caught up to voter. */
  async promote(id: string): Promise<void> {
    await promote(this.state, this.requireLeadership(), id);
  }

  /** Removes a member permanently. */
  async removeMember(id: string): Promise<void> {
    await removeMember(this.state, this.requireLeadership(), id);
  }

  /**
   * Transfers leadership to another voter; resolves once this replica no longer
   * leads. Rejects with `TransferFailed` after the election timeout.
   */
  async transferLeadership(): Promise<void> {
    await transferLeadership(this.state, this.requireLeadership());
  }

  /**
   * Whether this replica leads and a majority answered it within the election
   * timeout, so that no other leader can have been elected.
   */
  get leadsWithQuorum(): boolean {
    return this.state.leadership?.hasQuorum() ?? false;
  }

  /**
   * Monotonic time in milliseconds before which no other replica has committed
   * anything that this one's state machine lacks. Undefined unless this replica
   * leads and has applied an entry of its own term.
   */
  get confirmedAt(): number | undefined {
    return this.state.leadership?.confirmedAt;
  }

  /**
   * Monotonic time in milliseconds of this replica's election. Undefined unless
   * it leads.
   */
  get leadsSince(): number | undefined {
    return this.state.leadership?.startedAt;
  }

  /** Returns the current state of this replica. */
  status(): ReplicaStatus {
    const {id, term, commitIndex, lastApplied, log, self} = this.state;
    const isLeading = this.state.leadership !== undefined;
    const role = self.role === 'learner' ? 'learner' : this.state.role;
    return {
      id,
      role,
      term,
      leader: isLeading ? self : this.state.leader,
      commitIndex,
      lastApplied,
      members: log.members,
      peers: this.peerStatuses(),
    };
  }

  /**
   * Returns at most `limit` applied entries after `afterIndex`, oldest first,
   * including entries before the latest snapshot.
   */
  async history(afterIndex: number, limit: number): Promise<Entry[]> {
    this.state.assertRunning();
    const {lastApplied, writer} = this.state;
    return writer.enqueue(storage =>
      storage.history(afterIndex, limit, lastApplied),
    );
  }

  private becomeLeader(): void {
    const {state} = this;
    const leadership = new Leadership(state, this.applier);
    state.role = 'leader';
    state.leader = state.self;
    state.leadership = leadership;
    leadership.start();
  }

  private requireLeadership(): Leadership {
    this.state.assertRunning();
    const {leadership, leader} = this.state;
    if (leadership instanceof Leadership) return leadership;
    throw new NotLeader('this replica is not the leader', {props: {leader}});
  }

  private peerStatuses(): PeerStatus[] {
    const {leadership, options} = this.state;
    if (!(leadership instanceof Leadership)) return [];
    const now = options.clock.now();
    return [...leadership.replicators.values()].map(replicator => ({
      id: replicator.member.id,
      matchIndex: replicator.matchIndex,
      lastContactMs: Math.round(now - replicator.lastContact),
    }));
  }
}
