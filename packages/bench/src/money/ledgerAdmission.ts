/**
 * @fileoverview Admission by the real ledger, with or without grants.
 *
 * Connected routers reserve in the ledger. With grants, each router keeps one
 * per customer, sized by its demand, and spends it only while it is cut off;
 * what connected routers hold is recalled before a request is refused.
 */
import {
  selectGrantsToRecall,
  Ledger,
  scopedKey,
  sizeGrant,
} from '@dogwoodtrestle/ledger';
import {
  type Command,
  type JournalRecord,
  type Result,
} from '@dogwoodtrestle/schema';

import {type VirtualTime} from '../routing/virtualTime.js';
import {type Admission} from './admission.js';
import {moneyContract} from './moneyContract.js';
import {type MoneySetting} from './moneySetting.js';
import {type MoneyRequest, type Payments} from './moneyWorkload.js';

const renewalMilliseconds = 10_000;
const millisecondsPerSecond = 1000;
/** Weight of the newest interval in the measured demand. */
const demandWeight = 0.05;
/** Change of the wanted amount that is worth another grant. */
const resizeFactor = 1.25;
const workspace = 'desk';

/** A grant as its holder sees it. */
interface HeldGrant {
  grantId: string;
  amount: number;
  /** What is neither billed nor reserved. */
  free: number;
  deadline: number;
  records: Map<number, JournalRecord>;
  open: number;
}

/** What one router knows of one customer. */
interface Holding {
  customer: string;
  router: number;
  demandPerSecond: number;
  /** Spending since the last renewal. */
  spent: number;
  largestRequest: number;
  grant?: HeldGrant;
}

/** Options of an admission by the ledger. */
export interface LedgerAdmissionOptions {
  setting: MoneySetting;
  payments: Map<string, Payments>;
  time: VirtualTime;
  withGrants: boolean;
}

/** Admits requests by the real ledger. */
export class LedgerAdmission implements Admission {
  readonly ledger = new Ledger();
  private readonly holdings = new Map<string, Holding>();
  /** Grant that each request runs on, while it does. */
  private readonly onGrant = new Map<number, HeldGrant>();
  private cutOff: ReadonlySet<number> = new Set();
  private index = 0;

  constructor(private readonly options: LedgerAdmissionOptions) {
    const {setting, payments, time, withGrants} = options;
    for (const [customer, {prepaid}] of payments) {
      const contract = moneyContract(setting, customer, prepaid);
      const change = {changeId: customer, operator: 'bench'};
      const expectedVersion = 0;
      this.apply({kind: 'applyContract', ...change, expectedVersion, contract});
    }
    if (withGrants) time.every(renewalMilliseconds, () => this.renewAll());
  }

  tryOpen(request: MoneyRequest): boolean {
    const holding = this.holdingOf(request);
    const {maximumCost} = request;
    holding.largestRequest = Math.max(holding.largestRequest, maximumCost);
    if (this.cutOff.has(request.router)) {
      return this.openOnGrant(request, holding);
    }
    const result = this.open(request);
    if (result.kind === 'opened') return true;
    if (result.kind !== 'refused') return false;
    const few = selectGrantsToRecall(result, maximumCost);
    // A grant on which requests run can't be returned, so others may have to.
    const all = [...few, ...(result.recallable ?? [])];
    return all.some(
      ({grantId}) =>
        this.recall(grantId) && this.open(request).kind === 'opened',
    );
  }

  mayFree({customer, router}: MoneyRequest): boolean {
    if (this.cutOff.has(router)) return false;
    return (this.ledger.budget(customer)?.reserved ?? 0) > 0;
  }

  settle(request: MoneyRequest): void {
    this.holdingOf(request).spent += request.cost;
    const grant = this.onGrant.get(request.id);
    if (grant !== undefined) {
      this.settleOnGrant(request, grant);
      return;
    }
    const {customer, id, cost} = request;
    this.apply({
      kind: 'settleRequest',
      requestKey: scopedKey({customer, workspace, requestKey: `${id}`}),
      attempt: 1,
      attempts: 1,
      cost,
      outcome: 'completed',
      instance: `router-${request.router}`,
      settledAt: 0,
    });
  }

  topUp(customer: string, amount: number): void {
    const changeId = `top-up ${customer}`;
    this.apply({kind: 'topUp', changeId, operator: 'bench', customer, amount});
  }

  setCutOff(routers: ReadonlySet<number>): void {
    const isHealed = (router: number): boolean =>
      this.cutOff.has(router) && !routers.has(router);
    const healed = [...this.holdings.values()].filter(({router}) =>
      isHealed(router),
    );
    this.cutOff = routers;
    for (const holding of healed) this.giveBack(holding);
  }

  private open(request: MoneyRequest): Result {
    const {id, customer, maximumCost, router} = request;
    return this.apply({
      kind: 'openRequest',
      requestKey: `${id}`,
      fingerprint: '',
      customer,
      workspace,
      target: {kind: 'model', name: 'model'},
      maximumCost,
      unknownCost: 0,
      contractVersion: 1,
      holder: `router-${router}`,
      idempotent: true,
      traceId: '',
    });
  }

  private openOnGrant(request: MoneyRequest, holding: Holding): boolean {
    const {grant} = holding;
    const {id, maximumCost} = request;
    if (grant === undefined || this.options.time.now > grant.deadline) {
      return false;
    }
    if (maximumCost > grant.free) return false;
    grant.free -= maximumCost;
    grant.open++;
    grant.records.set(id, {
      sequence: grant.records.size + 1,
      requestKey: `${id}`,
      fingerprint: '',
      workspace,
      target: {kind: 'model', name: 'model'},
      maximumCost,
      contractVersion: 1,
      traceId: '',
    });
    this.onGrant.set(id, grant);
    return true;
  }

  private settleOnGrant(request: MoneyRequest, grant: HeldGrant): void {
    const {id, cost, maximumCost} = request;
    this.onGrant.delete(id);
    grant.free += maximumCost - cost;
    grant.open--;
    grant.records.get(id)!.settlement = {
      cost,
      outcome: 'completed',
      attempts: 1,
      settledAt: 0,
    };
    if (!this.cutOff.has(request.router)) {
      this.giveBack(this.holdingOf(request));
    }
  }

  /** Returns a connected holder's grant; tells whether it could. */
  private recall(grantId: string): boolean {
    const holding = [...this.holdings.values()].find(
      ({grant}) => grant?.grantId === grantId,
    );
    if (holding === undefined || this.cutOff.has(holding.router)) return false;
    return this.giveBack(holding);
  }

  /** Returns a grant on which nothing runs. */
  private giveBack(holding: Holding): boolean {
    const {grant} = holding;
    if (grant === undefined || grant.open > 0) return false;
    const records = [...grant.records.values()];
    this.apply({kind: 'returnGrant', grantId: grant.grantId, records});
    holding.grant = undefined;
    return true;
  }

  private renewAll(): void {
    for (const holding of this.holdings.values()) {
      const newest =
        (holding.spent * millisecondsPerSecond) / renewalMilliseconds;
      holding.demandPerSecond +=
        (newest - holding.demandPerSecond) * demandWeight;
      holding.spent = 0;
      if (!this.cutOff.has(holding.router)) this.renew(holding);
    }
  }

  private renew(holding: Holding): void {
    const {setting} = this.options;
    const budget = this.ledger.budget(holding.customer)!;
    const own = holding.grant?.amount ?? 0;
    const wanted = sizeGrant({
      demandPerSecond: holding.demandPerSecond,
      available: budget.available + own,
      granted: budget.granted - own,
      holders: setting.routers.length,
      servingSeconds: setting.partition.servingSeconds,
      grantPercent: setting.partition.grantPercent,
      largestRequest: holding.largestRequest,
    });
    const isFitting =
      wanted <= own * resizeFactor && wanted * resizeFactor >= own;
    if (
      !isFitting &&
      !(holding.grant === undefined || this.giveBack(holding))
    ) {
      return;
    }
    if (wanted > 0) this.take(holding, wanted);
  }

  private take(holding: Holding, amount: number): void {
    const {time} = this.options;
    const {customer, router} = holding;
    const grantId =
      holding.grant?.grantId ?? `${customer} ${router} ${this.index}`;
    const result = this.apply({
      kind: 'takeGrant',
      grantId,
      customer,
      holder: `router-${router}`,
      journal: `router-${router}`,
      amount,
      contractVersion: 1,
    });
    if (result.kind !== 'granted') return;
    const deadline = time.now + result.servingMilliseconds;
    if (holding.grant !== undefined) {
      holding.grant.deadline = deadline;
      return;
    }
    holding.grant = {
      grantId,
      amount: result.amount,
      free: result.amount,
      deadline,
      records: new Map(),
      open: 0,
    };
  }

  private holdingOf({customer, router}: MoneyRequest): Holding {
    const name = `${customer} ${router}`;
    let holding = this.holdings.get(name);
    if (holding === undefined) {
      holding = {
        customer,
        router,
        demandPerSecond: 0,
        spent: 0,
        largestRequest: 0,
      };
      this.holdings.set(name, holding);
    }
    return holding;
  }

  private apply(command: Command): Result {
    const timestamp = Math.floor(this.options.time.now);
    return this.ledger.apply(command, {index: ++this.index, timestamp});
  }
}
