/**
 * @fileoverview This process's replica and its membership in the replicated
 * group: bootstrap, joining, and the replacement of lost members.
 */
import {
  decideRepair,
  type FileStorage,
  bootstrapCluster,
  type RepairCandidate,
  type RepairStep,
  Replica,
  type StateMachine,
} from '@dogwoodtrestle/consensus';
import {
  type PeerCallClient,
  PeriodicTask,
  shareEncoding,
} from '@dogwoodtrestle/runtime';
import {
  type ConsensusMessage,
  type ConsensusReply,
  type FleetCommand,
  type JoinRequest,
  type LeaderHint,
  type Member,
  type PeerIdentity,
} from '@dogwoodtrestle/schema';

import {type ControlOptions} from './controlOptions.js';
import {SuspensionDetector} from './suspensionDetector.js';

/** Applies each kind of repair step. */
type RepairStepHandlers = {
  [K in RepairStep['kind']]: (
    replica: Replica,
    step: Extract<RepairStep, {kind: K}>,
  ) => Promise<void>;
};

const repairStepHandlers: RepairStepHandlers = {
  none: async () => {},
  addLearner: (replica, {member}) => replica.addLearner(member),
  promote: (replica, {id}) => replica.promote(id),
  remove: (replica, {id}) => replica.removeMember(id),
};

/** A process that asked to join, and the time of its latest request. */
interface JoinCandidate {
  request: JoinRequest;
  heardAt: number;
}

/** Time for which a join request is valid; a process repeats its request. */
const joinTtlMilliseconds = 2_000;

/** The replicated group as this process sees it. */
export class ReplicaGroup {
  private readonly joinCandidates = new Map<string, JoinCandidate>();
  private readonly tasks: PeriodicTask[];
  private lastLoggedLeader?: string;
  private readonly suspensions: SuspensionDetector;

  private constructor(
    readonly replica: Replica,
    private readonly options: ControlOptions,
    private readonly client: PeerCallClient,
    private readonly replicaId: string,
  ) {
    const {clock, logger} = options;
    this.suspensions = new SuspensionDetector(clock);
    this.tasks = [
      new PeriodicTask({
        name: 'join the replica group',
        clock,
        logger,
        intervalMilliseconds: options.joinIntervalMilliseconds,
        run: () => this.bootstrapOrJoin(),
      }),
      new PeriodicTask({
        name: 'repair the replica group',
        clock,
        logger,
        intervalMilliseconds: options.membershipIntervalMilliseconds,
        run: () => this.repairMembership(),
      }),
    ];
  }

  /** Opens the replica from its storage; {@link start} starts it. */
  static async open(
    options: ControlOptions,
    client: PeerCallClient,
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
        send: (to, message) => {
          shareLargeEntries(message);
          return client.call<ConsensusReply>(to.address, 'consensus', message, {
            timeoutMilliseconds: options.peerTimeoutMilliseconds,
          });
        },
      },
    });
    return new ReplicaGroup(replica, options, client, storage.identity);
  }

  /** Starts the replica and the periodic membership tasks. */
  start(): void {
    this.replica.start();
    for (const task of this.tasks) task.start();
  }

  /** Transfers leadership if possible, and stops the replica. */
  async stop(): Promise<void> {
    await Promise.all(this.tasks.map(task => task.stop()));
    if (this.isLeader) {
      await this.replica.transferLeadership().catch((error: unknown) => {
        this.options.logger.warn({err: error}, 'could not transfer leadership');
      });
    }
    await this.replica.stop();
  }

  /** Whether this process's replica leads the group. */
  get isLeader(): boolean {
    return this.replica.status().role === 'leader';
  }

  /** Whether this process leads, and no other leader can have been elected. */
  get leadsWithQuorum(): boolean {
    return this.replica.leadsWithQuorum;
  }

  /**
   * Monotonic time in milliseconds before which nothing was committed that this
   * leader's state lacks; undefined if it can't tell.
   */
  get confirmedAt(): number | undefined {
    const {confirmedAt} = this.replica;
    // Contacts before a suspension are older than the monotonic clock says.
    const resumedAt = this.suspensions.resumedAt();
    const isCurrent = confirmedAt !== undefined && confirmedAt > resumedAt;
    return isCurrent ? confirmedAt : undefined;
  }

  /** Whether this process leads, and may answer from its state. */
  get isConfirmedLeader(): boolean {
    return this.confirmedAt !== undefined && this.leadsWithQuorum;
  }

  /** Monotonic time since which this process leads; undefined if it doesn't. */
  get leadsSince(): number | undefined {
    return this.replica.leadsSince;
  }

  /** Newest term that this process's replica knows. */
  get term(): number {
    return this.replica.status().term;
  }

  /** Peer address of the leader, if it is known and another process. */
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

  /** Reply to calls that only the leader can handle. */
  leaderHint(): LeaderHint {
    return {
      kind: 'notLeader',
      leader: this.leaderAddress,
      replicas: this.addresses,
    };
  }

  /** Handles a consensus message from another replica. */
  receive(message: ConsensusMessage): Promise<ConsensusReply> {
    return this.replica.receive(message);
  }

  /** Identity of this process, as it is reported during bootstrap. */
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

  /** Handles the initial membership sent by the process that bootstraps. */
  acceptBootstrap(members: Member[]): Promise<void> {
    return this.replica.bootstrap(members);
  }

  /** Registers a process that asks to join; only the leader adds members. */
  receiveJoinRequest(request: JoinRequest): LeaderHint {
    const {clock} = this.options;
    this.joinCandidates.set(request.replicaId, {request, heardAt: clock.now()});
    return this.leaderHint();
  }

  private async bootstrapOrJoin(): Promise<void> {
    this.logLeaderChange();
    const {members, leader, role} = this.replica.status();
    const isMember = members.some(({id}) => id === this.replicaId);
    if (isMember && (role === 'leader' || leader !== undefined)) return;
    if (this.options.bootstrap && members.length === 0) await this.bootstrap();
    await this.requestToJoin();
  }

  private async bootstrap(): Promise<void> {
    const {options, client} = this;
    const callOptions = {timeoutMilliseconds: options.peerTimeoutMilliseconds};
    const outcome = await bootstrapCluster({
      address: options.peerAddress,
      initialReplicas: options.seeds(),
      identity: () => this.identity(),
      fetchIdentity: address =>
        client.call<PeerIdentity>(address, 'identity', {}, callOptions),
      bootstrapLocally: members => this.replica.bootstrap(members),
      bootstrapRemotely: async (address, members) => {
        await client.call(address, 'found', {members}, callOptions);
      },
    });
    if (outcome === 'founded') {
      options.logger.info(
        {members: this.replica.status().members},
        'bootstrapped the replica group',
      );
    }
  }

  private async requestToJoin(): Promise<void> {
    const {options, client} = this;
    const {instance, peerAddress, failureDomain} = options;
    const request: JoinRequest = {
      replicaId: this.replicaId,
      instance,
      address: peerAddress,
      failureDomain,
      logEmpty: this.replica.status().members.length === 0,
    };
    const askedAddresses = new Set([peerAddress]);
    const ask = async (address: string): Promise<LeaderHint | undefined> => {
      if (askedAddresses.has(address)) return undefined;
      askedAddresses.add(address);
      try {
        return await client.call<LeaderHint>(address, 'join', request, {
          timeoutMilliseconds: options.peerTimeoutMilliseconds,
        });
      } catch (error) {
        options.logger.debug({err: error, address}, 'join request failed');
        return undefined;
      }
    };
    const knownAddresses = [...options.seeds(), ...this.otherAddresses];
    const hints = await Promise.all(knownAddresses.map(ask));
    const hintedAddresses = hints.flatMap(hint =>
      hint === undefined
        ? []
        : [
            ...(hint.leader === undefined ? [] : [hint.leader]),
            ...hint.replicas,
          ],
    );
    await Promise.all(hintedAddresses.map(ask));
  }

  /** Takes at most one repair step per call, if this process leads. */
  private async repairMembership(): Promise<void> {
    this.logLeaderChange();
    if (!this.isLeader) return;
    const step = this.planRepair();
    if (step.kind === 'none') return;
    this.options.logger.info({step}, 'changing the replica group');
    const handler = repairStepHandlers[step.kind] as (
      replica: Replica,
      step: RepairStep,
    ) => Promise<void>;
    await handler(this.replica, step);
  }

  private planRepair(): RepairStep {
    const {targetVoters, replicaLostAfterMilliseconds} = this.options;
    const status = this.replica.status();
    const memberIds = new Set(status.members.map(({id}) => id));
    const joinRequests = this.currentJoinRequests();
    const candidates: RepairCandidate[] = joinRequests
      .filter(({replicaId}) => !memberIds.has(replicaId))
      .map(({replicaId, ...request}) => ({id: replicaId, ...request}));
    // A process with a new identity at a member's address means that the
    // member's disk is lost.
    const lostMemberIds = new Set(
      status.members.flatMap(({id, address}) =>
        candidates.some(candidate => candidate.address === address) ? [id] : [],
      ),
    );
    return decideRepair(
      {
        status,
        candidates,
        failureDomains: this.failureDomains(),
        permanentlyLost: lostMemberIds,
      },
      {
        targetVoters,
        lostAfterMilliseconds: replicaLostAfterMilliseconds,
      },
    );
  }

  private failureDomains(): Map<string, string> {
    return new Map(
      [...this.joinCandidates.values()].map(({request}) => [
        request.instance,
        request.failureDomain,
      ]),
    );
  }

  private currentJoinRequests(): JoinRequest[] {
    const now = this.options.clock.now();
    for (const [id, {heardAt}] of this.joinCandidates) {
      if (now - heardAt > joinTtlMilliseconds) this.joinCandidates.delete(id);
    }
    return [...this.joinCandidates.values()].map(({request}) => request);
  }

  private logLeaderChange(): void {
    const {role, term, leader} = this.replica.status();
    const current =
      role === 'leader' ? this.options.instance : leader?.instance;
    if (current === this.lastLoggedLeader) return;
    this.options.logger.info(
      {
        leader: current ?? 'none',
        previous: this.lastLoggedLeader ?? 'none',
        term,
      },
      'leader changed',
    );
    this.lastLoggedLeader = current;
  }
}

/** Lets entries with configurations be encoded once for all followers. */
function shareLargeEntries(message: ConsensusMessage): void {
  if (message.kind !== 'append') return;
  for (const entry of message.entries) {
    const commands = (entry.commands ?? []) as FleetCommand[];
    const isLarge = commands.some(({kind}) => kind === 'putConfiguration');
    if (isLarge) shareEncoding(entry);
  }
}
