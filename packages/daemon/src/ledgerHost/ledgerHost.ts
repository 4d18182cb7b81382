/**
 * @fileoverview Hosts the ledger replica of an instance with a disk.
 */
import {mkdir} from 'node:fs/promises';
import path from 'node:path';

import {
  FileStorage,
  NotLeader,
  Replica,
  Stopped,
} from '@dogwoodtrestle/consensus';
import {Ledger} from '@dogwoodtrestle/ledger';
import {
  type Bill,
  type BillsReply,
  type BillsRequest,
  type ChangesReply,
  type ChangesRequest,
  type Command,
  type ConsensusMessage,
  type ConsensusReply,
  type FoundRequest,
  type Member,
  type QueryReply,
  type QueryRequest,
  type ReplicaIdentity,
  type ReplicaView,
  type Result,
  type Settings,
  type SubmitReply,
  type SubmitRequest,
} from '@dogwoodtrestle/schema';

import {type ReplicaCalls} from '../peer/peerApi.js';
import {type Clock, systemClock} from '@dogwoodtrestle/runtime';
import {type Logger, silentLogger} from '@dogwoodtrestle/runtime';
import {type Metrics, silentMetrics} from '../util/metrics.js';
import {PeriodicTask} from '@dogwoodtrestle/runtime';
import {BarrierQueue} from './barrierQueue.js';
import {BillArchive, type BillGap} from './billArchive.js';
import {answerQuery} from './ledgerQueries.js';
import {LedgerStateMachine} from './ledgerStateMachine.js';
import {QuorumContact} from './quorumContact.js';

/** Options of a ledger host. */
export interface LedgerHostOptions {
  /** Folder of durable state, from the settings. */
  dataFolder: string;
  /** Name of this instance. */
  instance: string;
  /** Peer address (host:port) of this instance. */
  address: string;
  settings: Settings['ledger'];
  /** Sends a consensus message; rejects if it can't be delivered. */
  send: (to: Member, message: ConsensusMessage) => Promise<ConsensusReply>;
  /** Fetches bills that other replicas have archived. */
  fetchBills?: (gap: BillGap) => Promise<Bill[] | undefined>;
  /** Called once if the replica stops because of an error. */
  onFailure?: (error: unknown) => void;
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
  /** Interval at which the leader checks for expired deadlines. */
  expiryCheckMilliseconds?: number;
}

const defaultOptions = {
  fetchBills: async () => undefined,
  onFailure: () => {},
  clock: systemClock,
  logger: silentLogger,
  metrics: silentMetrics,
  expiryCheckMilliseconds: 200,
};

const millisecondsPerSecond = 1000;
const billsPerPage = 10_000;

/** Replica, ledger and bill archive of one instance. */
export class LedgerHost implements ReplicaCalls {
  private readonly barriers: BarrierQueue;
  private readonly quorumContact: QuorumContact;
  private readonly expiry: PeriodicTask;

  private constructor(
    private readonly options: Required<LedgerHostOptions>,
    readonly replica: Replica,
    readonly ledger: Ledger,
    private readonly machine: LedgerStateMachine,
    private readonly bills: BillArchive,
  ) {
    const {clock, logger, expiryCheckMilliseconds} = options;
    this.barriers = new BarrierQueue(() => replica.barrier());
    this.quorumContact = new QuorumContact(clock);
    this.expiry = new PeriodicTask({
      name: 'ledger expiry',
      clock,
      logger,
      intervalMilliseconds: expiryCheckMilliseconds,
      run: () => this.advanceTime(),
    });
  }

  /** Opens the replica and restores its durable state. */
  static async open(input: LedgerHostOptions): Promise<LedgerHost> {
    const options = {...defaultOptions, ...input};
    await mkdir(options.dataFolder, {recursive: true});
    const storage = await FileStorage.open(
      path.join(options.dataFolder, 'replica'),
    );
    const ledger = new Ledger({
      requestRetentionMilliseconds:
        options.settings.requestRetentionSeconds * millisecondsPerSecond,
    });
    let restoredIndex = 0;
    const archive: {bills?: BillArchive} = {};
    const machine = new LedgerStateMachine({
      ledger,
      clock: options.clock,
      onBills: made => archive.bills?.append(made),
      syncBills: index => archive.bills?.sync(index),
      onRestore: index => {
        restoredIndex = index;
        archive.bills?.skipTo(index);
      },
    });
    const {id, replica} = await openReplica(options, storage, machine);
    const bills = await BillArchive.open(
      path.join(options.dataFolder, 'bills.jsonl'),
      restoredIndex,
    );
    archive.bills = bills;
    options.logger.info({replica: id}, 'ledger replica opened');
    return new LedgerHost(options, replica, ledger, machine, bills);
  }

  /** Starts to participate in elections. */
  start(): void {
    this.replica.start();
    this.expiry.start();
  }

  /** Transfers leadership if this replica leads, and closes all files. */
  async stop(): Promise<void> {
    await this.expiry.stop();
    if (this.isLeader) await this.transferLeadership();
    await this.replica.stop();
    this.bills.close();
  }

  get isLeader(): boolean {
    return this.replica.status().role === 'leader';
  }

  /** Ledger time estimated by this process's clock, in milliseconds. */
  get ledgerTime(): number {
    return this.machine.estimatedLedgerTime;
  }

  /** Peer address of the leader known to this replica. */
  get leaderAddress(): string | undefined {
    return this.replica.status().leader?.address;
  }

  /** Identity of the replica, for bootstrap and repair. */
  identity(): ReplicaIdentity {
    const {id, term, members} = this.replica.status();
    return {replicaId: id, logEmpty: term === 0 && members.length === 0};
  }

  async receive(message: ConsensusMessage): Promise<ConsensusReply> {
    const reply = await this.replica.receive(message);
    const {lastApplied} = this.replica.status();
    this.quorumContact.recordMessage(message, reply, lastApplied);
    return reply;
  }

  async bootstrap({members}: FoundRequest): Promise<void> {
    await this.replica.bootstrap(members);
    this.options.logger.info({members}, 'ledger bootstrapped');
  }

  async submit({commands}: SubmitRequest): Promise<SubmitReply> {
    try {
      const results = await this.propose(commands);
      return {kind: 'results', results, ledgerTime: this.machine.ledgerTime};
    } catch (error) {
      const leader = this.otherLeaderAddress();
      if (isNotProposed(error)) return {kind: 'notLeader', leader};
      this.options.logger.warn({err: error}, 'outcome of a proposal unknown');
      return {kind: 'unknown', leader};
    }
  }

  async query({name, input}: QueryRequest): Promise<QueryReply> {
    try {
      await this.barriers.wait();
    } catch (error) {
      this.options.logger.debug({err: error}, 'barrier failed');
      return {kind: 'notLeader', leader: this.otherLeaderAddress()};
    }
    const {ledger, bills, replica} = this;
    const value = await answerQuery(name, {ledger, bills, replica}, input);
    return {kind: 'answer', value: value as object | undefined as never};
  }

  async changes({revision}: ChangesRequest): Promise<ChangesReply> {
    const {ledger, replica, quorumContact} = this;
    return {
      revision: ledger.revision,
      contracts: revision === undefined ? [] : ledger.changesSince(revision),
      quorumAgeMilliseconds: quorumContact.ageMilliseconds(replica.status()),
    };
  }

  /** Returns the bills of log entries, if all of them are archived here. */
  async archivedBills({after, until}: BillsRequest): Promise<BillsReply> {
    const isComplete =
      this.bills.gap === undefined && this.machine.appliedIndex >= until;
    if (!isComplete) return {};
    const range = {after, until};
    return {bills: await this.bills.readEntries(range, billsPerPage)};
  }

  /** State of the replica, as shown to operators. */
  view(): ReplicaView {
    const {id, role, term, leader, commitIndex, lastApplied, members} =
      this.replica.status();
    return {
      replicaId: id,
      instance: this.options.instance,
      address: this.options.address,
      role,
      term,
      commitIndex,
      lastApplied,
      ...(leader === undefined ? {} : {leader: leader.instance}),
      members: members.map(({id: replicaId, instance, address, role}) => ({
        replicaId,
        instance,
        address,
        role,
      })),
    };
  }

  private async propose(commands: Command[]): Promise<Result[]> {
    if (commands.length > 0) {
      return (await this.replica.propose(commands)) as Result[];
    }
    await this.barriers.wait();
    return [];
  }

  private async advanceTime(): Promise<void> {
    this.reportMetrics();
    await this.fetchMissingBills();
    if (!this.isLeader) return;
    const expiry = this.ledger.nextExpiry();
    if (expiry === undefined) return;
    const {ledgerTime, estimatedLedgerTime} = this.machine;
    // No entry was applied since the restart, so the ledger time is unknown.
    const isTimeUnknown = ledgerTime === 0;
    if (isTimeUnknown || estimatedLedgerTime > expiry) {
      await this.submit({commands: [{kind: 'advanceTime'}]});
    }
  }

  /** Fetches bills that are missing after a snapshot of another replica. */
  private async fetchMissingBills(): Promise<void> {
    const {gap} = this.bills;
    if (gap === undefined) return;
    const bills = await this.options.fetchBills(gap);
    // Another snapshot may have been installed in the meantime.
    if (bills === undefined || this.bills.gap !== gap) return;
    this.bills.fillGap(bills);
    this.options.logger.info({gap, bills: bills.length}, 'bills fetched');
  }

  private reportMetrics(): void {
    const {term, commitIndex, lastApplied, role} = this.replica.status();
    const {metrics} = this.options;
    metrics.gauge('replica.term', term);
    metrics.gauge('replica.commit_index', commitIndex);
    metrics.gauge('replica.applied_lag', commitIndex - lastApplied);
    metrics.gauge('replica.leads', role === 'leader' ? 1 : 0);
  }

  private otherLeaderAddress(): string | undefined {
    const address = this.leaderAddress;
    return address === this.options.address ? undefined : address;
  }

  private async transferLeadership(): Promise<void> {
    try {
      await this.replica.transferLeadership();
    } catch (error) {
      this.options.logger.warn({err: error}, 'leadership transfer failed');
    }
  }
}

async function openReplica(
  options: Required<LedgerHostOptions>,
  storage: FileStorage,
  stateMachine: LedgerStateMachine,
): Promise<{id: string; replica: Replica}> {
  const {instance, address, settings, send, clock, logger, onFailure} = options;
  const id = storage.identity;
  const replica = await Replica.open({
    member: {id, instance, address, role: 'voter'},
    storage,
    stateMachine,
    transport: {send},
    clock,
    random: Math.random,
    heartbeatIntervalMilliseconds: settings.heartbeatMilliseconds,
    electionTimeoutMilliseconds: settings.electionTimeoutMilliseconds,
    snapshotEveryEntries: settings.snapshotEveryEntries,
    onFailure: error => {
      logger.error({err: error, replica: id}, 'ledger replica stopped');
      onFailure(error);
    },
  });
  return {id, replica};
}

function isNotProposed(error: unknown): boolean {
  return error instanceof NotLeader || error instanceof Stopped;
}
