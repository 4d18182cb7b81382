/**
 * @fileoverview Acquires, renews and returns grants in the background.
 */
import {randomUUID} from 'node:crypto';

import {sizeGrant} from '@dogwoodtrestle/ledger';
import {
  type BudgetView,
  type ContractView,
  type Result,
} from '@dogwoodtrestle/schema';

import {type LedgerClient} from '../ledgerClient/ledgerClient.js';
import {QuorumUnreachableError} from '../ledgerClient/quorumUnreachableError.js';
import {type Clock} from '@dogwoodtrestle/runtime';
import {type Logger} from '@dogwoodtrestle/runtime';
import {type Metrics} from '../util/metrics.js';
import {DemandMeter} from './demandMeter.js';
import {mergeRecords, returnGrant} from './grantAccounts.js';
import {HeldGrant} from './heldGrant.js';
import {type JournalLocation} from './journalLocation.js';
import {Stopwatch} from '../util/stopwatch.js';

/** Options of the grant manager. */
export interface GrantManagerOptions {
  /** Identity of this process: `name#incarnation`. */
  holder: string;
  ledgerClient: Pick<LedgerClient, 'submit' | 'query' | 'connected'>;
  /** Newest contract of a customer that this instance knows. */
  contractOf: (customer: string) => ContractView | undefined;
  /** Location for the journal of a new grant, if a disk is reachable. */
  chooseJournalLocation: () => JournalLocation | undefined;
  /** Whether an instance that stores journals is reachable. */
  isAlive: (instance: string) => boolean;
  /** Number of instances that serve callers. */
  routers: () => number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** Fraction of the serving time after which a grant is renewed. */
const renewalAgeFraction = 0.2;
/** Time without requests after which a grant is returned. */
const idleMilliseconds = 300_000;
/** Time after a recall or refusal before the next grant is requested. */
const cooldownMilliseconds = 10_000;
/** Minimum time between two comparisons of a grant's size with demand. */
const resizeCheckMilliseconds = 15_000;
const growFactor = 1.5;
const shrinkFactor = 3;

/** Holds the grants of this instance and keeps them sized by demand. */
export class GrantManager {
  private readonly held = new Map<string, HeldGrant>();
  private readonly meters = new Map<string, DemandMeter>();
  /** Earliest monotonic time of each customer's next grant. */
  private readonly nextGrantAt = new Map<string, number>();
  private readonly sizedAt = new Map<string, number>();

  constructor(private readonly options: GrantManagerOptions) {}

  get grants(): HeldGrant[] {
    return [...this.held.values()];
  }

  get(grantId: string): HeldGrant | undefined {
    return this.held.get(grantId);
  }

  grantsOf(customer: string): HeldGrant[] {
    return this.grants.filter(({options}) => options.customer === customer);
  }

  observe(customer: string, cost: number, reserved: number): void {
    const now = this.options.clock.now();
    let meter = this.meters.get(customer);
    if (meter === undefined) {
      meter = new DemandMeter(now);
      this.meters.set(customer, meter);
    }
    meter.observe(cost, reserved, now);
  }

  async contractChanged(view: ContractView): Promise<void> {
    const replaced = this.grantsOf(view.contract.customer).filter(
      grant => grant.contractVersion < view.version || view.retired,
    );
    await this.returnGrants(replaced);
  }

  /** Returns unused grants; resolves with the returned micros. */
  async recall(grantIds: string[]): Promise<number> {
    const grants = grantIds.flatMap(grantId => this.held.get(grantId) ?? []);
    for (const {options} of grants) this.startCooldown(options.customer);
    return this.returnGrants(grants);
  }

  async returnAll(): Promise<void> {
    await this.returnGrants(this.grants);
  }

  /** Runs maintenance once; does nothing while the quorum is unreachable. */
  async maintain(): Promise<void> {
    const {ledgerClient, metrics} = this.options;
    metrics.gauge('grants.held', this.held.size);
    if (!ledgerClient.connected) return;
    const maintained = this.grants.map(grant =>
      this.logErrors(() => this.maintainGrant(grant)),
    );
    await Promise.all(maintained);
    const taken = [...this.meters.keys()].map(customer =>
      this.logErrors(() => this.takeIfActive(customer)),
    );
    await Promise.all(taken);
  }

  private async maintainGrant(grant: HeldGrant): Promise<void> {
    const {customer, place} = grant.options;
    const {contractOf, isAlive} = this.options;
    const version = contractOf(customer)?.version ?? grant.contractVersion;
    const shouldReturn =
      grant.returning ||
      grant.used ||
      grant.contractVersion < version ||
      this.isIdle(customer) ||
      !isAlive(place.instance);
    if (shouldReturn) {
      await this.returnGrants([grant]);
      return;
    }
    if (grant.age < renewalAgeFraction) return;
    if (await this.needsResize(grant)) await this.returnGrants([grant]);
    else await this.renew(grant);
  }

  private async takeIfActive(customer: string): Promise<void> {
    const now = this.options.clock.now();
    if (this.isIdle(customer)) {
      this.meters.delete(customer);
      return;
    }
    if (now < (this.nextGrantAt.get(customer) ?? 0)) return;
    const hasUsableGrant = this.grantsOf(customer).some(
      ({returning}) => !returning,
    );
    if (!hasUsableGrant) await this.take(customer);
  }

  private async take(customer: string): Promise<void> {
    const {contractOf, chooseJournalLocation, clock, holder} = this.options;
    const view = contractOf(customer);
    const place = chooseJournalLocation();
    if (view === undefined || view.retired || place === undefined) return;
    const amount = await this.computeSize(view);
    if (amount === 0) {
      this.startCooldown(customer);
      return;
    }
    const grantId = randomUUID();
    // The journal is created first, so that recovery can always close the grant.
    await place.append(grantId, [{kind: 'header', grantId, customer, holder}]);
    const contractVersion = view.version;
    const grant = new HeldGrant({
      grantId,
      customer,
      amount,
      contractVersion,
      place,
      clock,
    });
    this.held.set(grantId, grant);
    this.sizedAt.set(grantId, clock.now());
    await this.renew(grant);
  }

  /** Acquires the grant or extends its deadline. */
  private async renew(grant: HeldGrant): Promise<void> {
    const {ledgerClient, clock, holder} = this.options;
    const {grantId, customer, amount, place, contractVersion} = grant.options;
    const sinceSubmit = new Stopwatch(clock);
    const result = await ledgerClient
      .submit({
        kind: 'takeGrant',
        grantId,
        customer,
        holder,
        journal: place.instance,
        amount,
        contractVersion,
      })
      .catch(ignoreUnreachable);
    if (result?.kind === 'granted') grant.renew(result, sinceSubmit);
    else if (result !== undefined) await this.handleRefusal(grant, result);
  }

  private async handleRefusal(grant: HeldGrant, result: Result): Promise<void> {
    const {customer} = grant.options;
    const code = result.kind === 'refused' ? result.code : result.kind;
    this.options.logger.debug({customer, code}, 'grant refused');
    this.startCooldown(customer);
    await this.returnGrants([grant]);
  }

  /**
   * Returns grants whose requests are all settled; bills the settled records of
   * the others.
   */
  private async returnGrants(grants: HeldGrant[]): Promise<number> {
    for (const grant of grants) grant.returning = true;
    let returned = 0;
    await Promise.all(
      grants.map(grant =>
        this.logErrors(async () => {
          returned += await this.returnOrMerge(grant);
        }),
      ),
    );
    return returned;
  }

  private async returnOrMerge(grant: HeldGrant): Promise<number> {
    const {ledgerClient, logger, metrics} = this.options;
    const {grantId, unmerged, unsettled} = grant;
    if (unsettled.length > 0) {
      // Running requests finish on their own; a later merge bills them.
      await mergeRecords(ledgerClient, grantId, unmerged);
      grant.markMerged(unmerged);
      return 0;
    }
    const {billed, returned} = await returnGrant(
      ledgerClient,
      grantId,
      unmerged,
    ).catch((error: unknown) => {
      // If the command was not sent, the grant is still valid and usable.
      grant.returning = mayBeCommitted(error);
      throw error;
    });
    this.held.delete(grantId);
    this.sizedAt.delete(grantId);
    metrics.increment('grants.returned');
    logger.debug({grantId, billed, returned}, 'grant returned');
    await grant.options.place.remove(grantId).catch((error: unknown) => {
      logger.debug({err: error, grantId}, 'journal not removed');
    });
    return returned;
  }

  private async needsResize(grant: HeldGrant): Promise<boolean> {
    const {clock, contractOf} = this.options;
    const sizedAt = this.sizedAt.get(grant.grantId) ?? 0;
    const view = contractOf(grant.options.customer);
    const tooSoon = clock.now() - sizedAt < resizeCheckMilliseconds;
    if (view === undefined || tooSoon || grant.size === 0) return false;
    this.sizedAt.set(grant.grantId, clock.now());
    const targetSize = await this.computeSize(view, grant.size);
    return (
      targetSize > grant.size * growFactor ||
      targetSize < grant.size / shrinkFactor
    );
  }

  /** @param replacedAmount Amount of the grant to be replaced, in micros. */
  private async computeSize(
    view: ContractView,
    replacedAmount = 0,
  ): Promise<number> {
    const {ledgerClient, clock, routers} = this.options;
    const {customer, partition} = view.contract;
    const meter = this.meters.get(customer);
    const budget: BudgetView | undefined = await ledgerClient.query('budget', {
      customer,
    });
    if (meter === undefined || budget === undefined) return 0;
    const now = clock.now();
    return sizeGrant({
      demandPerSecond: meter.perSecond(now),
      largestRequest: meter.largestRequest(now),
      available: budget.available + replacedAmount,
      granted: budget.granted - replacedAmount,
      holders: routers(),
      servingSeconds: partition.servingSeconds,
      grantPercent: partition.grantPercent,
    });
  }

  private isIdle(customer: string): boolean {
    const meter = this.meters.get(customer);
    const now = this.options.clock.now();
    return (
      meter === undefined || meter.idleMilliseconds(now) > idleMilliseconds
    );
  }

  private startCooldown(customer: string): void {
    const until = this.options.clock.now() + cooldownMilliseconds;
    this.nextGrantAt.set(customer, until);
  }

  private async logErrors(action: () => Promise<void>): Promise<void> {
    try {
      await action();
    } catch (error) {
      this.options.logger.debug({err: error}, 'grant maintenance failed');
    }
  }
}

/**
 * Maps an unreachable quorum to undefined: the command may have been committed
 * and is sent again in the next run.
 */
function ignoreUnreachable(error: unknown): undefined {
  if (!(error instanceof QuorumUnreachableError)) throw error;
  return undefined;
}

function mayBeCommitted(error: unknown): boolean {
  return !(
    error instanceof QuorumUnreachableError && error.outcome === 'notSent'
  );
}
