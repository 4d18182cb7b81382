/**
 * @fileoverview Admission by the real ledger, with or without grants.
 *
 * Connected routers reserve in the ledger. With grants, each router holds one
 * per customer, sized by its demand, and spends it only while partitioned;
 * grants of connected routers are recalled before a request is refused.
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
import {type AdmissionStrategy} from './admission.js';
import {createMoneyContract} from './moneyContract.js';
import {type MoneySetting} from './moneySetting.js';
import {type MoneyRequest, type Payments} from './moneyWorkload.js';

const renewalMilliseconds = 10_000;
const millisecondsPerSecond = 1000;
/** Weight of the newest interval in the moving average of demand. */
const demandWeight = 0.05;
/** A grant is replaced when its target amount differs by more than this. */
const resizeFactor = 1.25;
const workspace = 'desk';

/** A grant as recorded by its holder; amounts in micros. */
interface HeldGrant {
  grantId: string;
  amount: number;
  /** Amount that is neither billed nor reserved. */
  free: number;
  /** Virtual time in milliseconds until which the grant may be spent. */
  deadline: number;
  records: Map<number, JournalRecord>;
  /** Number of requests running on the grant. */
  open: number;
}

/** One router's demand and grant for one customer. */
interface RouterCustomerState {
  customer: string;
  router: number;
  demandPerSecond: number;
  /** Micros spent since the last renewal. */
  spent: number;
  largestRequest: number;
  grant?: HeldGrant;
}

/** Options of {@link LedgerAdmission}. */
export interface LedgerAdmissionOptions {
  setting: MoneySetting;
  payments: Map<string, Payments>;
  time: VirtualTime;
  withGrants: boolean;
}

/** Admits requests against the real ledger. */
export class LedgerAdmission implements AdmissionStrategy {
  readonly ledger = new Ledger();
  private readonly states = new Map<string, RouterCustomerState>();
  /** Grants of the requests that run on one, by request id. */
  private readonly grantsByRequest = new Map<number, HeldGrant>();
  private partitioned: ReadonlySet<number> = new Set();
  private index = 0;

  constructor(private readonly options: LedgerAdmissionOptions) {
    const {setting, payments, time, withGrants} = options;
    for (const [customer, {prepaid}] of payments) {
      const contract = createMoneyContract(setting, customer, prepaid);
      const change = {changeId: customer, operator: 'bench'};
      const expectedVersion = 0;
      this.apply({kind: 'applyContract', ...change, expectedVersion, contract});
    }
    if (withGrants) time.every(renewalMilliseconds, () => this.renewAll());
  }

  tryOpen(request: MoneyRequest): boolean {
    const state = this.stateOf(request);
    const {maximumCost} = request;
    state.largestRequest = Math.max(state.largestRequest, maximumCost);
    if (this.partitioned.has(request.router)) {
      return this.openOnGrant(request, state);
    }
    const result = this.open(request);
    if (result.kind === 'opened') return true;
    if (result.kind !== 'refused') return false;
    const suggested = selectGrantsToRecall(result, maximumCost);
    // A grant with running requests cannot be returned, so try the others too.
    const recallable = [...suggested, ...(result.recallable ?? [])];
    return recallable.some(
      ({grantId}) =>
        this.recall(grantId) && this.open(request).kind === 'opened',
    );
  }

  shouldWait({customer, router}: MoneyRequest): boolean {
    if (this.partitioned.has(router)) return false;
    return (this.ledger.budget(customer)?.reserved ?? 0) > 0;
  }

  settle(request: MoneyRequest): void {
    this.stateOf(request).spent += request.cost;
    const grant = this.grantsByRequest.get(request.id);
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

  setPartitioned(routers: ReadonlySet<number>): void {
    const hasReconnected = (router: number): boolean =>
      this.partitioned.has(router) && !routers.has(router);
    const reconnected = [...this.states.values()].filter(({router}) =>
      hasReconnected(router),
    );
    this.partitioned = routers;
    for (const state of reconnected) this.returnGrant(state);
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

  private openOnGrant(
    request: MoneyRequest,
    state: RouterCustomerState,
  ): boolean {
    const {grant} = state;
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
    this.grantsByRequest.set(id, grant);
    return true;
  }

  private settleOnGrant(request: MoneyRequest, grant: HeldGrant): void {
    const {id, cost, maximumCost} = request;
    this.grantsByRequest.delete(id);
    grant.free += maximumCost - cost;
    grant.open--;
    grant.records.get(id)!.settlement = {
      cost,
      outcome: 'completed',
      attempts: 1,
      settledAt: 0,
    };
    if (!this.partitioned.has(request.router)) {
      this.returnGrant(this.stateOf(request));
    }
  }

  /** Returns the grant of a connected holder; false if that is impossible. */
  private recall(grantId: string): boolean {
    const state = [...this.states.values()].find(
      ({grant}) => grant?.grantId === grantId,
    );
    if (state === undefined || this.partitioned.has(state.router)) return false;
    return this.returnGrant(state);
  }

  /** Returns the grant unless requests run on it; false if it did not. */
  private returnGrant(state: RouterCustomerState): boolean {
    const {grant} = state;
    if (grant === undefined || grant.open > 0) return false;
    const records = [...grant.records.values()];
    this.apply({kind: 'returnGrant', grantId: grant.grantId, records});
    state.grant = undefined;
    return true;
  }

  private renewAll(): void {
    for (const state of this.states.values()) {
      const newestDemand =
        (state.spent * millisecondsPerSecond) / renewalMilliseconds;
      state.demandPerSecond +=
        (newestDemand - state.demandPerSecond) * demandWeight;
      state.spent = 0;
      if (!this.partitioned.has(state.router)) this.renew(state);
    }
  }

  private renew(state: RouterCustomerState): void {
    const {setting} = this.options;
    const budget = this.ledger.budget(state.customer)!;
    const currentAmount = state.grant?.amount ?? 0;
    const targetAmount = sizeGrant({
      demandPerSecond: state.demandPerSecond,
      available: budget.available + currentAmount,
      granted: budget.granted - currentAmount,
      holders: setting.routers.length,
      servingSeconds: setting.partition.servingSeconds,
      grantPercent: setting.partition.grantPercent,
      largestRequest: state.largestRequest,
    });
    const isCloseToTarget =
      targetAmount <= currentAmount * resizeFactor &&
      targetAmount * resizeFactor >= currentAmount;
    if (
      !isCloseToTarget &&
      !(state.grant === undefined || this.returnGrant(state))
    ) {
      return;
    }
    if (targetAmount > 0) this.takeGrant(state, targetAmount);
  }

  private takeGrant(state: RouterCustomerState, amount: number): void {
    const {time} = this.options;
    const {customer, router} = state;
    const grantId =
      state.grant?.grantId ?? `${customer} ${router} ${this.index}`;
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
    if (state.grant !== undefined) {
      state.grant.deadline = deadline;
      return;
    }
    state.grant = {
      grantId,
      amount: result.amount,
      free: result.amount,
      deadline,
      records: new Map(),
      open: 0,
    };
  }

  private stateOf({customer, router}: MoneyRequest): RouterCustomerState {
    const name = `${customer} ${router}`;
    let state = this.states.get(name);
    if (state === undefined) {
      state = {
        customer,
        router,
        demandPerSecond: 0,
        spent: 0,
        largestRequest: 0,
      };
      this.states.set(name, state);
    }
    return state;
  }

  private apply(command: Command): Result {
    const timestamp = Math.floor(this.options.time.now);
    return this.ledger.apply(command, {index: ++this.index, timestamp});
  }
}
