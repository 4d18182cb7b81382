/**
 * @fileoverview This process's replica, and its place in the replicated group:
 * founding, joining, and the replacement of lost members.
 */
import {
  decideRepair,
  type FileStorage,
  foundCluster,
  type RepairCandidate,
  type RepairStep,
  Replica,
  type StateMachine,
} from '@dogwoodtrestle/consensus';
import {type PeerCallClient, PeriodicTask} from '@dogwoodtrestle/runtime';
import {
  type ConsensusMessage,
  type ConsensusReply,
  type JoinRequest,
  type LeaderHint,
  type Member,
  type PeerIdentity,
} from '@dogwoodtrestle/schema';

import {type ControlOptions} from './controlOptions.js';

type StepHandlers = {
  [K in RepairStep['kind']]: (
    replica: Replica,
    step: Extract<RepairStep, {kind: K}>,
  ) => Promise<void>;
};

const stepHandlers: StepHandlers = {
  none: async () => {},
  addLearner: (replica, {member}) => replica.addLearner(member),
  promote: (replica, {id}) => replica.promote(id),
  remove: (replica, {id}) => replica.removeMember(id),
};

/** A process that asked to join, and when. */
interface Applicant {
  request: JoinRequest;
  heardAt: number;
}

/** Time for which an application to join counts. */
const applicationMilliseconds = 2_000;

/** The replicated group as this process sees it. */
export class ReplicaGroup {
  private readonly applicants = new Map<string, Applicant>();
  private readonly tasks: PeriodicTask[];
  private lastLeader?: string;

  private constructor(
    readonly replica: Replica,
    private readonly options: ControlOptions,
    private readonly calls: PeerCallClient,
    private readonly replicaId: string,
  ) {
    const {clock, logger} = options;
    this.tasks = [
      new PeriodicTask({
        name: 'joining the group',
        clock,
        logger,
        intervalMilliseconds: options.joinIntervalMilliseconds,
        run: () => this.foundOrJoin(),
      }),
      new PeriodicTask({
        name: 'members of the group',
        clock,
        logger,
        intervalMilliseconds: options.membershipIntervalMilliseconds,
        run: () => this.tendMembers(),
      }),
    ];
  }

  static async open(
    options: ControlOptions,
    calls: PeerCallClient,
    storage: FileStorage,
    stateMachine: StateMachine,
  ): Promise<ReplicaGroup> {
    const {peerAddress, instance, clock, consensus, onFailure} = options;
    const member: Member = {
      id: storage.identity,
      instance,
      address: peerAddress,
      role: 'voter',
    };
    const replica = await Replica.open({
      ...consensus,
      member,
      storage,
      stateMachine,
      clock,
      random: Math.random,
      onFailure,
      transport: {
        send: (to, message) =>
          calls.call<ConsensusReply>(to.address, 'consensus', message, {
            timeoutMilliseconds: options.peerTimeoutMilliseconds,
          }),
      },
    });
    return new ReplicaGroup(replica, options, calls, storage.identity);
  }

  start(): void {
    this.replica.start();
    for (const task of this.tasks) task.start();
  }

  /** Hands leadership over where it can, and stops the replica. */
  async stop(): Promise<void> {
    await Promise.all(this.tasks.map(task => task.stop()));
    if (this.isLeader) {
      await this.replica.transferLeadership().catch((error: unknown) => {
        this.options.logger.warn(
          {err: error},
          'leadership was not handed over',
        );
      });
    }
    await this.replica.stop();
  }

  get isLeader(): boolean {
    return this.replica.status().role === 'leader';
  }

  /** Peer address of the leader, where it is known and another process. */
  get leaderAddress(): string | undefined {
    return this.isLeader ? undefined : this.replica.status().leader?.address;
  }

  /** Peer addresses of all members. */
  get addresses(): string[] {
    return this.replica.status().members.map(({address}) => address);
  }

  /** Peer addresses of the other members. */
  get otherAddresses(): string[] {
    const {peerAddress} = this.options;
    return this.addresses.filter(address => address !== peerAddress);
  }

  hint(): LeaderHint {
    return {
      kind: 'notLeader',
      leader: this.leaderAddress,
      replicas: this.addresses,
    };
  }

  receive(message: ConsensusMessage): Promise<ConsensusReply> {
    return this.replica.receive(message);
  }

  identity(): PeerIdentity {
    const {instance, peerAddress, clock} = this.options;
    const {term, members} = this.replica.status();
    const logEmpty = members.length === 0 && term === 0;
    return {
      instance,
      incarnation: 0,
      address: peerAddress,
      wallTime: clock.wallNow(),
      replica: {replicaId: this.replicaId, logEmpty},
    };
  }

  found(members: Member[]): Promise<void> {
    return this.replica.found(members);
  }

  /** Notes a process that wants to join; it is used while this one leads. */
  apply(request: JoinRequest): LeaderHint {
    const {clock} = this.options;
    this.applicants.set(request.replicaId, {request, heardAt: clock.now()});
    return this.hint();
  }

  private async foundOrJoin(): Promise<void> {
    this.noteLeader();
    const {members, leader, role} = this.replica.status();
    const isMember = members.some(({id}) => id === this.replicaId);
    if (isMember && (role === 'leader' || leader !== undefined)) return;
    if (this.options.bootstrap && members.length === 0) await this.bootstrap();
    await this.askToJoin();
  }

  private async bootstrap(): Promise<void> {
    const {options, calls} = this;
    const timeout = {timeoutMilliseconds: options.peerTimeoutMilliseconds};
    const outcome = await foundCluster({
      address: options.peerAddress,
      initialReplicas: options.seeds(),
      identity: () => this.identity(),
      ask: address =>
        calls.call<PeerIdentity>(address, 'identity', {}, timeout),
      foundLocally: members => this.replica.found(members),
      foundRemotely: async (address, members) => {
        await calls.call(address, 'found', {members}, timeout);
      },
    });
    if (outcome === 'founded') {
      options.logger.info(
        {members: this.replica.status().members},
        'founded the group of replicas',
      );
    }
  }

  private async askToJoin(): Promise<void> {
    const {options, calls} = this;
    const {instance, peerAddress, failureDomain} = options;
    const request: JoinRequest = {
      replicaId: this.replicaId,
      instance,
      address: peerAddress,
      failureDomain,
      logEmpty: this.replica.status().members.length === 0,
    };
    const asked = new Set([peerAddress]);
    const ask = async (address: string): Promise<LeaderHint | undefined> => {
      if (asked.has(address)) return undefined;
      asked.add(address);
      try {
        return await calls.call<LeaderHint>(address, 'join', request, {
          timeoutMilliseconds: options.peerTimeoutMilliseconds,
        });
      } catch (error) {
        options.logger.debug({err: error, address}, 'could not ask to join');
        return undefined;
      }
    };
    const known = [...options.seeds(), ...this.otherAddresses];
    const hints = await Promise.all(known.map(ask));
    const further = hints.flatMap(hint =>
      hint === undefined
        ? []
        : [
            ...(hint.leader === undefined ? [] : [hint.leader]),
            ...hint.replicas,
          ],
    );
    await Promise.all(further.map(ask));
  }

  /** Takes at most one step towards a whole group, while this one leads. */
  private async tendMembers(): Promise<void> {
    this.noteLeader();
    if (!this.isLeader) return;
    const step = this.decide();
    if (step.kind === 'none') return;
    this.options.logger.info({step}, 'changing the group of replicas');
    const handler = stepHandlers[step.kind] as (
      replica: Replica,
      step: RepairStep,
    ) => Promise<void>;
    await handler(this.replica, step);
  }

  private decide(): RepairStep {
    const {targetVoters, replicaLostAfterMilliseconds} = this.options;
    const status = this.replica.status();
    const memberIds = new Set(status.members.map(({id}) => id));
    const applicants = this.freshApplicants();
    const candidates: RepairCandidate[] = applicants
      .filter(({replicaId}) => !memberIds.has(replicaId))
      .map(({replicaId, ...request}) => ({id: replicaId, ...request}));
    // A process that came back at a member's address with another identity
    // has lost that member's disk.
    const gone = new Set(
      status.members.flatMap(({id, address}) =>
        candidates.some(candidate => candidate.address === address) ? [id] : [],
      ),
    );
    return decideRepair(
      {status, candidates, failureDomains: this.failureDomains(), gone},
      {
        targetVoters,
        lostAfterMilliseconds: replicaLostAfterMilliseconds,
      },
    );
  }

  private failureDomains(): Map<string, string> {
    return new Map(
      [...this.applicants.values()].map(({request}) => [
        request.instance,
        request.failureDomain,
      ]),
    );
  }

  private freshApplicants(): JoinRequest[] {
    const now = this.options.clock.now();
    for (const [id, {heardAt}] of this.applicants) {
      if (now - heardAt > applicationMilliseconds) this.applicants.delete(id);
    }
    return [...this.applicants.values()].map(({request}) => request);
  }

  private noteLeader(): void {
    const {role, term, leader} = this.replica.status();
    const current =
      role === 'leader' ? this.options.instance : leader?.instance;
    if (current === this.lastLeader) return;
    this.options.logger.info(
      {leader: current ?? 'none', previous: this.lastLeader ?? 'none', term},
      'leader of the replicas changed',
    );
    this.lastLeader = current;
  }
}
