/**
 * @fileoverview One replica of the log: the face of this package.
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

/** Options that have no default, and any others. */
export type ReplicaInput = Partial<ReplicaOptions> &
  Pick<
    ReplicaOptions,
    'member' | 'storage' | 'stateMachine' | 'transport' | 'clock' | 'random'
  >;

/** How far another replica is, as its leader knows it. */
export interface PeerStatus {
  id: string;
  matchIndex: number;
  /** Milliseconds since a message was sent that the replica answered. */
  lastContactMs: number;
}

/** What a replica knows of itself and its group. */
export interface ReplicaStatus {
  id: string;
  role: Role;
  term: number;
  leader?: Member;
  commitIndex: number;
  lastApplied: number;
  members: Member[];
  /** The other members; empty unless this replica leads. */
  peers: PeerStatus[];
}

/** Answers each kind of message. */
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
    this.election = new Election(state, () => this.lead());
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
      elect: order => follower.receiveOrder(order),
      history: request => this.backfill.receive(request),
    };
  }

  /**
   * Reads the stored state back. The replica answers messages from now on, and
   * stands for election after `start`.
   */
  static async open(input: ReplicaInput): Promise<Replica> {
    const options = {...defaultOptions, ...input};
    const {member, storage, stateMachine} = options;
    if (member.id !== storage.identity) {
      throw new IdentityMismatch(
        `member ${member.id} has the data folder of ${storage.identity}`,
      );
    }
    const stored = await storage.load();
    if (stored.snapshot !== undefined) {
      stateMachine.restore(JSON.parse(stored.snapshot.text));
    }
    return new Replica(new ReplicaState(options, stored));
  }

  /** Takes part in elections from now on. */
  start(): void {
    this.state.assertRunning();
    this.election.startTimer();
    this.backfill.start();
  }

  /** Ends all activity; resolves once the storage is closed. */
  async stop(): Promise<void> {
    this.state.stop();
    this.election.stop();
    await this.state.writer.close();
    await this.state.options.storage.close();
  }

  /**
   * Writes the first membership entry to an empty log. All first members must
   * get the same members in the same order.
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
      term: 1,
      timestamp: 0,
      kind: 'membership',
      members,
    };
    const followed = this.state.follow(entry.term);
    log.append([entry]);
    await Promise.all([followed, writer.append([entry])]);
  }

  /** Answers a message of another replica. */
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
   * Commits commands, JSON values, and resolves with their results in order.
   * Rejects with `NotLeader` or `Stopped` when they weren't appended, and with
   * `OutcomeUnknown` when they may or may not be committed.
   */
  async propose(commands: unknown[]): Promise<unknown[]> {
    return this.leadership().propose(commands);
  }

  /**
   * Resolves with the index that a linearizable read includes, once the local
   * state machine has applied it. Only the leader can.
   */
  async barrier(): Promise<number> {
    return this.leadership().barrier();
  }

  /** Adds a member without a vote, as the first step to a new voter. */
  async addLearner(member: Member): Promise<void> {
    await addLearner(this.state, this.leadership(), member);
  }

  /** Gives a learner that has caught up a vote. */
  async promote(id: string): Promise<void> {
    await promote(this.state, this.leadership(), id);
  }

  /** Removes a member for good. */
  async removeMember(id: string): Promise<void> {
    await removeMember(this.state, this.leadership(), id);
  }

  /** Hands leadership to another voter; resolves once it is given up. */
  async transferLeadership(): Promise<void> {
    await transferLeadership(this.state, this.leadership());
  }

  status(): ReplicaStatus {
    const {id, term, commitIndex, lastApplied, log, self} = this.state;
    const leads = this.state.leadership !== undefined;
    const role = self.role === 'learner' ? 'learner' : this.state.role;
    return {
      id,
      role,
      term,
      leader: leads ? self : this.state.leader,
      commitIndex,
      lastApplied,
      members: log.members,
      peers: this.peers(),
    };
  }

  /**
   * Returns committed entries after an index, oldest first, also those before
   * the newest snapshot.
   */
  async history(afterIndex: number, limit: number): Promise<Entry[]> {
    this.state.assertRunning();
    const {lastApplied, writer} = this.state;
    return writer.enqueue(storage =>
      storage.history(afterIndex, limit, lastApplied),
    );
  }

  private lead(): void {
    const {state} = this;
    const leadership = new Leadership(state, this.applier);
    state.role = 'leader';
    state.leader = state.self;
    state.leadership = leadership;
    leadership.start();
  }

  private leadership(): Leadership {
    this.state.assertRunning();
    const {leadership, leader} = this.state;
    if (leadership instanceof Leadership) return leadership;
    throw new NotLeader('this replica does not lead', {props: {leader}});
  }

  private peers(): PeerStatus[] {
    const {leadership, options} = this.state;
    if (!(leadership instanceof Leadership)) return [];
    const now = options.clock.now();
    return [...leadership.replicators.values()].map(replicator => ({
      id: replicator.member.id,
      matchIndex: replicator.matchIndex,
      lastContactMs: Math.round(now - replicator.contact),
    }));
  }
}
