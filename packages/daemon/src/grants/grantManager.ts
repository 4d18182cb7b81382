/**
 * @fileoverview Takes, renews and returns grants in the background.
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

/** What the keeper of grants needs. */
export interface GrantManagerOptions {
  /** Identity of this process: `name#incarnation`. */
  holder: string;
  ledgerClient: Pick<LedgerClient, 'submit' | 'query' | 'connected'>;
  /** The newest contract of a customer that is known here. */
  contractOf: (customer: string) => ContractView | undefined;
  /** Where the journal of a new grant goes, if a disk is in reach. */
  chooseJournalLocation: () => JournalLocation | undefined;
  /** Whether an instance that keeps journals can be reached. */
  isAlive: (instance: string) => boolean;
  /** Number of instances that serve callers. */
  routers: () => number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** Part of the serving time after which a grant is renewed. */
const renewalFraction = 0.2;
/** Time without requests after which a grant is given back. */
const idleMilliseconds = 300_000;
/** Time after a recall or refusal before the next grant is taken. */
const coolOffMilliseconds = 10_000;
/** Time between two comparisons of a grant's size with the demand. */
const resizeMilliseconds = 15_000;
const growFactor = 1.5;
const shrinkFactor = 3;

/** The grants of this instance. */
export class GrantManager {
  private readonly held = new Map<string, HeldGrant>();
  private readonly meters = new Map<string, DemandMeter>();
  /** When each customer's next grant may be taken, in monotonic time. */
  private readonly takeFrom = new Map<string, number>();
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
    await this.giveBack(replaced);
  }

  /** Returns grants as far as they aren't in use; resolves with the amount. */
  async recall(grantIds: string[]): Promise<number> {
    const grants = grantIds.flatMap(grantId => this.held.get(grantId) ?? []);
    for (const {options} of grants) this.coolOff(options.customer);
    return this.giveBack(grants);
  }

  async returnAll(): Promise<void> {
    await this.giveBack(this.grants);
  }

  /** One round; does nothing while the quorum is out of reach. */
  async maintain(): Promise<void> {
    const {ledgerClient, metrics} = this.options;
    metrics.gauge('grants.held', this.held.size);
    if (!ledgerClient.connected) return;
    const kept = this.grants.map(grant => this.safely(() => this.keep(grant)));
    await Promise.all(kept);
    const taken = [...this.meters.keys()].map(customer =>
      this.safely(() => this.takeIfBusy(customer)),
    );
    await Promise.all(taken);
  }

  private async keep(grant: HeldGrant): Promise<void> {
    const {customer, place} = grant.options;
    const {contractOf, isAlive} = this.options;
    const version = contractOf(customer)?.version ?? grant.contractVersion;
    const unwanted =
      grant.returning ||
      grant.used ||
      grant.contractVersion < version ||
      this.isIdle(customer) ||
      !isAlive(place.instance);
    if (unwanted) {
      await this.giveBack([grant]);
      return;
    }
    if (grant.age < renewalFraction) return;
    if (await this.isMisfit(grant)) await this.giveBack([grant]);
    else await this.renew(grant);
  }

  private async takeIfBusy(customer: string): Promise<void> {
    const now = this.options.clock.now();
    if (this.isIdle(customer)) {
      this.meters.delete(customer);
      return;
    }
    if (now < (this.takeFrom.get(customer) ?? 0)) return;
    const spendable = this.grantsOf(customer).some(({returning}) => !returning);
    if (!spendable) await this.take(customer);
  }

  private async take(customer: string): Promise<void> {
    const {contractOf, chooseJournalLocation, clock, holder} = this.options;
    const view = contractOf(customer);
    const place = chooseJournalLocation();
    if (view === undefined || view.retired || place === undefined) return;
    const amount = await this.fittingAmount(view);
    if (amount === 0) {
      this.coolOff(customer);
      return;
    }
    const grantId = randomUUID();
    // The journal comes first, so that the grant can always be accounted for.
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

  /** Takes the grant or moves its deadline. */
  private async renew(grant: HeldGrant): Promise<void> {
    const {ledgerClient, clock, holder} = this.options;
    const {grantId, customer, amount, place, contractVersion} = grant.options;
    const deadline = new Stopwatch(clock);
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
      .catch(unanswered);
    if (result?.kind === 'granted') grant.renew(result, deadline);
    else if (result !== undefined) await this.refused(grant, result);
  }

  private async refused(grant: HeldGrant, result: Result): Promise<void> {
    const {customer} = grant.options;
    const code = result.kind === 'refused' ? result.code : result.kind;
    this.options.logger.debug({customer, code}, 'grant refused');
    this.coolOff(customer);
    await this.giveBack([grant]);
  }

  /** Returns grants whose requests are all settled, and merges the others. */
  private async giveBack(grants: HeldGrant[]): Promise<number> {
    for (const grant of grants) grant.returning = true;
    let returned = 0;
    await Promise.all(
      grants.map(grant =>
        this.safely(async () => {
          returned += await this.account(grant);
        }),
      ),
    );
    return returned;
  }

  private async account(grant: HeldGrant): Promise<number> {
    const {ledgerClient, logger, metrics} = this.options;
    const {grantId, unmerged, unsettled} = grant;
    if (unsettled.length > 0) {
      // Requests in progress end by themselves; their costs follow.
      await mergeRecords(ledgerClient, grantId, unmerged);
      grant.markMerged(unmerged);
      return 0;
    }
    const {billed, returned} = await returnGrant(
      ledgerClient,
      grantId,
      unmerged,
    ).catch((error: unknown) => {
      // Nothing was returned, so the grant may serve if this is a cut.
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

  private async isMisfit(grant: HeldGrant): Promise<boolean> {
    const {clock, contractOf} = this.options;
    const sizedAt = this.sizedAt.get(grant.grantId) ?? 0;
    const view = contractOf(grant.options.customer);
    const tooSoon = clock.now() - sizedAt < resizeMilliseconds;
    if (view === undefined || tooSoon || grant.size === 0) return false;
    this.sizedAt.set(grant.grantId, clock.now());
    const fitting = await this.fittingAmount(view, grant.size);
    return (
      fitting > grant.size * growFactor || fitting < grant.size / shrinkFactor
    );
  }

  /** @param own Amount of the grant that would be replaced. */
  private async fittingAmount(view: ContractView, own = 0): Promise<number> {
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
      available: budget.available + own,
      granted: budget.granted - own,
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

  private coolOff(customer: string): void {
    const until = this.options.clock.now() + coolOffMilliseconds;
    this.takeFrom.set(customer, until);
  }

  private async safely(action: () => Promise<void>): Promise<void> {
    try {
      await action();
    } catch (error) {
      this.options.logger.debug({err: error}, 'grant not kept up');
    }
  }
}

/** A grant whose taking may have been committed is asked for again. */
function unanswered(error: unknown): undefined {
  if (!(error instanceof QuorumUnreachableError)) throw error;
  return undefined;
}

function mayBeCommitted(error: unknown): boolean {
  return !(
    error instanceof QuorumUnreachableError && error.outcome === 'notSent'
  );
}
