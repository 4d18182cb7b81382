/**
 * @fileoverview Replaces lost replicas, one step at a time, while this replica
 * is the leader.
 */
import {
  decideRepair,
  type RepairCandidate,
  type RepairStep,
  type Replica,
} from '@dogwoodtrestle/consensus';
import {type InstanceRecord, peerAddressOf} from '@dogwoodtrestle/routing';
import {type PeerIdentity} from '@dogwoodtrestle/schema';

import {type Clock, systemClock} from '@dogwoodtrestle/runtime';
import {type Logger, silentLogger} from '@dogwoodtrestle/runtime';
import {type Metrics, silentMetrics} from '../util/metrics.js';
import {PeriodicTask} from '@dogwoodtrestle/runtime';

/** Options of replica repair. */
export interface ReplicaRepairOptions {
  replica: Pick<Replica, 'status' | 'addLearner' | 'promote' | 'removeMember'>;
  /** Other live instances with the ledger role. */
  ledgerPeers: () => InstanceRecord[];
  /** Newest record of an instance in any state. */
  instance: (name: string) => Pick<InstanceRecord, 'failureDomain'> | undefined;
  /** Fetches another instance's identity; rejects if it is unreachable. */
  fetchIdentity: (address: string) => Promise<PeerIdentity>;
  /** Time without contact after which a replica is replaced. */
  lostAfterMilliseconds: number;
  targetVoters: number;
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
  intervalMilliseconds?: number;
}

const defaultOptions = {
  clock: systemClock,
  logger: silentLogger,
  metrics: silentMetrics,
  intervalMilliseconds: 1000,
};

type StepHandlers = {
  [K in RepairStep['kind']]: (
    replica: ReplicaRepairOptions['replica'],
    step: Extract<RepairStep, {kind: K}>,
  ) => Promise<void>;
};

const handlers: StepHandlers = {
  none: async () => {},
  addLearner: (replica, {member}) => replica.addLearner(member),
  promote: (replica, {id}) => replica.promote(id),
  remove: (replica, {id}) => replica.removeMember(id),
};

/** Repairs the membership of the replica group. */
export class ReplicaRepair {
  private readonly options: Required<ReplicaRepairOptions>;
  private readonly task: PeriodicTask;

  constructor(options: ReplicaRepairOptions) {
    this.options = {...defaultOptions, ...options};
    const {clock, logger, intervalMilliseconds} = this.options;
    this.task = new PeriodicTask({
      name: 'replica repair',
      clock,
      logger,
      intervalMilliseconds,
      run: () => this.runOnce(),
    });
  }

  start(): void {
    this.task.start();
  }

  async stop(): Promise<void> {
    await this.task.stop();
  }

  /** Runs at most one repair step; public for tests. */
  async runOnce(): Promise<void> {
    const {replica, logger, metrics} = this.options;
    if (replica.status().role !== 'leader') return;
    const step = await this.decide();
    if (step.kind === 'none') return;
    logger.warn({step}, 'repairing the replica group');
    metrics.increment('replica.repairs', 1, {step: step.kind});
    const handler = handlers[step.kind] as (
      replica: ReplicaRepairOptions['replica'],
      step: RepairStep,
    ) => Promise<void>;
    await handler(replica, step);
  }

  private async decide(): Promise<RepairStep> {
    const {lostAfterMilliseconds, targetVoters} = this.options;
    const bounds = {lostAfterMilliseconds, targetVoters};
    const decide = (candidates: RepairCandidate[]) =>
      decideRepair(
        {
          status: this.options.replica.status(),
          candidates,
          failureDomains: this.failureDomains(),
        },
        bounds,
      );
    const step = decide([]);
    // Identities are fetched only if a replacement is needed.
    const needsCandidates =
      step.kind === 'none' && step.reason === 'noCandidate';
    return needsCandidates ? decide(await this.fetchCandidates()) : step;
  }

  private failureDomains(): Map<string, string> {
    const {replica, instance} = this.options;
    return new Map(
      replica.status().members.flatMap(member => {
        const failureDomain = instance(member.instance)?.failureDomain;
        return failureDomain === undefined
          ? []
          : [[member.instance, failureDomain] as const];
      }),
    );
  }

  private async fetchCandidates(): Promise<RepairCandidate[]> {
    const {replica, ledgerPeers, fetchIdentity} = this.options;
    const members = new Set(replica.status().members.map(({id}) => id));
    const answers = await Promise.allSettled(
      ledgerPeers().map(async record => ({
        record,
        identity: await fetchIdentity(peerAddressOf(record)),
      })),
    );
    return answers.flatMap(answer => {
      if (answer.status === 'rejected') return [];
      const {record, identity} = answer.value;
      const id = identity.replica?.replicaId;
      if (id === undefined || members.has(id)) return [];
      const {name, failureDomain} = record;
      const address = peerAddressOf(record);
      return [{id, instance: name, address, failureDomain}];
    });
  }
}
