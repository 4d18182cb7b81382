/**
 * @fileoverview Opens requests on the grants of this instance while the ledger's
 * quorum is unreachable.
 */
import {
  type ContractView,
  type JournalEntry,
  type JournalSettlement,
  type RecallReply,
} from '@dogwoodtrestle/schema';

import {type Clock, systemClock} from '@dogwoodtrestle/runtime';
import {type Logger, silentLogger} from '@dogwoodtrestle/runtime';
import {type Metrics, silentMetrics} from '../util/metrics.js';
import {PeriodicTask} from '@dogwoodtrestle/runtime';
import {GrantManager, type GrantManagerOptions} from './grantManager.js';
import {type GrantOpenRequest, type HeldGrant} from './heldGrant.js';

/** Options of grants. */
export interface GrantsOptions extends Omit<
  GrantManagerOptions,
  'clock' | 'logger' | 'metrics'
> {
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
  maintenanceMilliseconds?: number;
  /** Maximum time to return all grants on stop. */
  stopMilliseconds?: number;
}

/** Result of opening a request on a grant. */
export type GrantOpenResult =
  | {kind: 'opened'; grantId: string; sequence: number}
  | {kind: 'duplicate'; grantId: string; settled: boolean}
  | {kind: 'refused'; reason: string};

const defaultOptions = {
  clock: systemClock,
  logger: silentLogger,
  metrics: silentMetrics,
  maintenanceMilliseconds: 1000,
  stopMilliseconds: 3000,
};

/** Opens and settles requests on the grants of this instance. */
export class Grants {
  private readonly options: Required<GrantsOptions>;
  private readonly manager: GrantManager;
  private readonly maintenance: PeriodicTask;
  /** Journal entries whose append failed, by grant. */
  private readonly unwritten = new Map<string, JournalEntry[]>();

  constructor(options: GrantsOptions) {
    this.options = {...defaultOptions, ...options};
    const {clock, logger, maintenanceMilliseconds} = this.options;
    this.manager = new GrantManager(this.options);
    this.maintenance = new PeriodicTask({
      name: 'grants',
      clock,
      logger,
      intervalMilliseconds: maintenanceMilliseconds,
      run: () => this.maintain(),
    });
  }

  start(): void {
    this.maintenance.start();
  }

  /** Returns unused grants; recovery closes the others from their journals. */
  async stop(): Promise<void> {
    const {clock, stopMilliseconds} = this.options;
    await this.maintenance.stop();
    let cancel = () => {};
    const timeout = new Promise<void>(resolve => {
      cancel = clock.setTimer(stopMilliseconds, resolve);
    });
    await Promise.race([this.manager.returnAll(), timeout]);
    cancel();
  }

  /**
   * Records the cost and the reservation of a request, in micros, by which
   * grants are sized.
   */
  observe(customer: string, cost: number, reserved = cost): void {
    this.manager.observe(customer, cost, reserved);
  }

  /** Returns grants that were acquired under an older contract. */
  contractChanged(view: ContractView): void {
    void this.manager.contractChanged(view);
  }

  /** Returns unused grants that another instance recalls. */
  async recall(grantIds: string[]): Promise<RecallReply> {
    return {returned: await this.manager.recall(grantIds)};
  }

  /** Whether a request was opened on a grant and is not settled yet. */
  isRunning(requestKey: string): boolean {
    return this.manager.grants.some(grant =>
      grant.unsettled.some(record => record.requestKey === requestKey),
    );
  }

  /** Opens a request; its record is durable once this resolves. */
  async open(opening: GrantOpenRequest): Promise<GrantOpenResult> {
    const grants = this.manager.grantsOf(opening.customer);
    for (const grant of grants) {
      const known = grant.findRecord(opening);
      if (known === undefined) continue;
      const settled = known.settlement !== undefined;
      return {kind: 'duplicate', grantId: grant.grantId, settled};
    }
    const grant = grants.find(
      each => each.refusalReason(opening) === undefined,
    );
    if (grant !== undefined) return this.openOn(grant, opening);
    const reason = grants[0]?.refusalReason(opening) ?? 'no grant is held';
    return {kind: 'refused', reason};
  }

  /** Records the outcome of a request that was opened on a grant. */
  async settle(
    grantId: string,
    sequence: number,
    settlement: JournalSettlement,
  ): Promise<void> {
    const grant = this.manager.get(grantId);
    if (grant === undefined) throw new Error(`grant ${grantId} isn't held`);
    grant.settle(sequence, settlement);
    await this.write(grant, [{kind: 'settled', sequence, settlement}]);
  }

  private async openOn(
    grant: HeldGrant,
    opening: GrantOpenRequest,
  ): Promise<GrantOpenResult> {
    const record = grant.reserve(opening);
    const {sequence} = record;
    const written = await this.write(grant, [{kind: 'opened', record}]);
    // The grant may have expired during the sync or a pause of the process.
    if (written && !grant.expired) {
      return {kind: 'opened', grantId: grant.grantId, sequence};
    }
    await this.settle(grant.grantId, sequence, this.createNotRunSettlement());
    const reason = written
      ? 'the grant has expired'
      : "the grant's journal can't be written";
    return {kind: 'refused', reason};
  }

  private createNotRunSettlement(): JournalSettlement {
    const settledAt = Math.round(this.options.clock.wallNow());
    return {cost: 0, outcome: 'didNotRun', attempts: 0, settledAt};
  }

  /** Appends entries after those that failed before; false if that fails. */
  private async write(
    grant: HeldGrant,
    entries: JournalEntry[],
  ): Promise<boolean> {
    const {grantId, options} = grant;
    const all = [...(this.unwritten.get(grantId) ?? []), ...entries];
    this.unwritten.delete(grantId);
    try {
      if (all.length > 0) await options.place.append(grantId, all);
      return true;
    } catch (error) {
      const newer = this.unwritten.get(grantId) ?? [];
      this.unwritten.set(grantId, [...all, ...newer]);
      this.options.metrics.increment('grants.journal_failed');
      this.options.logger.warn({err: error, grantId}, 'journal not written');
      return false;
    }
  }

  private async maintain(): Promise<void> {
    // Iterates over a copy, since a failed write adds its entries again.
    for (const grantId of [...this.unwritten.keys()]) {
      const grant = this.manager.get(grantId);
      if (grant === undefined) this.unwritten.delete(grantId);
      else await this.write(grant, []);
    }
    await this.manager.maintain();
  }
}
