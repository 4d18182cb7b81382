/**
 * @fileoverview Grants that this instance holds, and the requests that it
 * opens on them while the ledger's quorum is out of reach.
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

/** What the grants need. */
export interface GrantsOptions extends Omit<
  GrantManagerOptions,
  'clock' | 'logger' | 'metrics'
> {
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
  maintenanceMilliseconds?: number;
  /** Bound of the time in which all grants are returned on stopping. */
  stopMilliseconds?: number;
}

/** Answer to the opening of a request on a grant. */
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

/** Opens requests on grants. */
export class Grants {
  private readonly options: Required<GrantsOptions>;
  private readonly keeper: GrantManager;
  private readonly maintenance: PeriodicTask;
  /** Entries whose append failed, by grant. */
  private readonly unwritten = new Map<string, JournalEntry[]>();

  constructor(options: GrantsOptions) {
    this.options = {...defaultOptions, ...options};
    const {clock, logger, maintenanceMilliseconds} = this.options;
    this.keeper = new GrantManager(this.options);
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

  /** Returns what can be returned; the rest is left to its journal. */
  async stop(): Promise<void> {
    const {clock, stopMilliseconds} = this.options;
    await this.maintenance.stop();
    let cancel = () => {};
    const timeout = new Promise<void>(resolve => {
      cancel = clock.setTimer(stopMilliseconds, resolve);
    });
    await Promise.race([this.keeper.returnAll(), timeout]);
    cancel();
  }

  /**
   * Takes in what a request cost and what was reserved for it, so that grants
   * are sized by demand.
   */
  observe(customer: string, cost: number, reserved = cost): void {
    this.keeper.observe(customer, cost, reserved);
  }

  /** Gives grants back that were taken under an older contract. */
  contractChanged(view: ContractView): void {
    void this.keeper.contractChanged(view);
  }

  /** Returns what isn't in use, at the ledger's request. */
  async recall(grantIds: string[]): Promise<RecallReply> {
    return {returned: await this.keeper.recall(grantIds)};
  }

  /** Whether a request that was opened on a grant has not been settled. */
  isRunning(requestKey: string): boolean {
    return this.keeper.grants.some(grant =>
      grant.unsettled.some(record => record.requestKey === requestKey),
    );
  }

  /** Opens a request; its record is durable when this resolves. */
  async open(opening: GrantOpenRequest): Promise<GrantOpenResult> {
    const grants = this.keeper.grantsOf(opening.customer);
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

  /** Records what became of a request that was opened on a grant. */
  async settle(
    grantId: string,
    sequence: number,
    settlement: JournalSettlement,
  ): Promise<void> {
    const grant = this.keeper.get(grantId);
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
    // The sync may have taken long, or the process may have been frozen.
    if (written && !grant.expired) {
      return {kind: 'opened', grantId: grant.grantId, sequence};
    }
    await this.settle(grant.grantId, sequence, this.notRun());
    const reason = written
      ? 'the time to spend the grant is over'
      : "the grant's journal can't be written";
    return {kind: 'refused', reason};
  }

  private notRun(): JournalSettlement {
    const settledAt = Math.round(this.options.clock.wallNow());
    return {cost: 0, outcome: 'didNotRun', attempts: 0, settledAt};
  }

  /** Appends entries, after those that failed before; tells whether it did. */
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
      const later = this.unwritten.get(grantId) ?? [];
      this.unwritten.set(grantId, [...all, ...later]);
      this.options.metrics.increment('grants.journal_failed');
      this.options.logger.warn({err: error, grantId}, 'journal not written');
      return false;
    }
  }

  private async maintain(): Promise<void> {
    // A copy, since a failed write puts its entry back.
    for (const grantId of [...this.unwritten.keys()]) {
      const grant = this.keeper.get(grantId);
      if (grant === undefined) this.unwritten.delete(grantId);
      else await this.write(grant, []);
    }
    await this.keeper.maintain();
  }
}
