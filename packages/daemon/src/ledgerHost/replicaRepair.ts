/**
 * @fileoverview Replaces lost replicas, one step at a time, while this replica
 * leads.
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

/** What the repair needs. */
export interface ReplicaRepairOptions {
  replica: Pick<Replica, 'status' | 'addLearner' | 'promote' | 'removeMember'>;
  /** Instances with the ledger role that are heard of, without this one. */
  ledgerPeers: () => InstanceRecord[];
  /** Newest record of an instance, whatever its state. */
  instance: (name: string) => Pick<InstanceRecord, 'failureDomain'> | undefined;
  /** Asks another instance; rejects if it can't be reached. */
  fetchIdentity: (address: string) => Promise<PeerIdentity>;
  /** Silence after which a replica is replaced. */
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

/** Looks after the members of the group. */
export class ReplicaRepair {
  private readonly options: Required<ReplicaRepairOptions>;
  private readonly rounds: PeriodicTask;

  constructor(options: ReplicaRepairOptions) {
    this.options = {...defaultOptions, ...options};
    const {clock, logger, intervalMilliseconds} = this.options;
    this.rounds = new PeriodicTask({
      name: 'replica repair',
      clock,
      logger,
      intervalMilliseconds,
      run: () => this.runOnce(),
    });
  }

  start(): void {
    this.rounds.start();
  }

  async stop(): Promise<void> {
    await this.rounds.stop();
  }

  /** Takes at most one step; public for tests. */
  async runOnce(): Promise<void> {
    const {replica, logger, metrics} = this.options;
    if (replica.status().role !== 'leader') return;
    const step = await this.decide();
    if (step.kind === 'none') return;
    logger.warn({step}, 'repairing the group of replicas');
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
    // Identities are asked for only when a replica is lacking.
    const isLacking = step.kind === 'none' && step.reason === 'noCandidate';
    return isLacking ? decide(await this.candidates()) : step;
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

  private async candidates(): Promise<RepairCandidate[]> {
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
