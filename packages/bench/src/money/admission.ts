/**
 * @fileoverview Interface of the admission strategies and two baselines.
 *
 * The oracle knows each request's cost in advance and sees every payment at
 * once. With static shares each router owns an equal part of every payment and
 * admits requests against that part alone.
 */
import {type MoneyRequest, type Payments} from './moneyWorkload.js';

/** Decides which requests are admitted; costs and payments are in micros. */
export interface AdmissionStrategy {
  /** Admits the request if the budget allows it; returns whether it did. */
  tryOpen(request: MoneyRequest): boolean;
  /** Whether open requests may still release enough money to wait for. */
  shouldWait(request: MoneyRequest): boolean;
  /** Settles an admitted request at its cost. */
  settle(request: MoneyRequest): void;
  /** Adds a payment to a customer's budget. */
  topUp(customer: string, amount: number): void;
  /** Sets the routers that cannot reach the quorum; called on each change. */
  setPartitioned(routers: ReadonlySet<number>): void;
}

/** Upper bound: knows every cost in advance and every payment at once. */
export class OracleAdmission implements AdmissionStrategy {
  private readonly left: Map<string, number>;

  constructor(payments: Map<string, Payments>) {
    this.left = new Map(
      [...payments].map(([customer, {prepaid}]) => [customer, prepaid]),
    );
  }

  tryOpen({customer, cost}: MoneyRequest): boolean {
    const left = this.left.get(customer) ?? 0;
    if (cost > left) return false;
    this.left.set(customer, left - cost);
    return true;
  }

  shouldWait(): boolean {
    return false;
  }

  settle(): void {}

  topUp(customer: string, amount: number): void {
    this.left.set(customer, (this.left.get(customer) ?? 0) + amount);
  }

  setPartitioned(): void {}
}

/** A router's part of one customer's payments, in micros. */
interface RouterShare {
  left: number;
  reserved: number;
  /** Part of a top-up that has not reached the router yet. */
  undelivered: number;
}

/** Gives each router an equal share of every payment. */
export class StaticShareAdmission implements AdmissionStrategy {
  private readonly sharesByRouter = new Map<string, RouterShare>();
  private partitioned: ReadonlySet<number> = new Set();

  constructor(
    payments: Map<string, Payments>,
    private readonly routers: number,
  ) {
    for (const [customer, {prepaid}] of payments) {
      for (let router = 0; router < routers; router++) {
        const left = Math.floor(prepaid / routers);
        this.sharesByRouter.set(`${customer} ${router}`, {
          left,
          reserved: 0,
          undelivered: 0,
        });
      }
    }
  }

  tryOpen(request: MoneyRequest): boolean {
    const share = this.shareOf(request);
    if (request.maximumCost > share.left - share.reserved) return false;
    share.reserved += request.maximumCost;
    return true;
  }

  shouldWait(request: MoneyRequest): boolean {
    return this.shareOf(request).reserved > 0;
  }

  settle(request: MoneyRequest): void {
    const share = this.shareOf(request);
    share.reserved -= request.maximumCost;
    share.left -= request.cost;
  }

  topUp(customer: string, amount: number): void {
    for (let router = 0; router < this.routers; router++) {
      const share = this.sharesByRouter.get(`${customer} ${router}`)!;
      share.undelivered += Math.floor(amount / this.routers);
    }
    this.deliverTopUps();
  }

  setPartitioned(routers: ReadonlySet<number>): void {
    this.partitioned = routers;
    this.deliverTopUps();
  }

  private deliverTopUps(): void {
    for (const [name, share] of this.sharesByRouter) {
      if (this.partitioned.has(Number(name.split(' ')[1]))) continue;
      share.left += share.undelivered;
      share.undelivered = 0;
    }
  }

  private shareOf({customer, router}: MoneyRequest): RouterShare {
    return this.sharesByRouter.get(`${customer} ${router}`)!;
  }
}
