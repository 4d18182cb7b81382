/**
 * @fileoverview Ways to admit requests to a budget, and the plain ones.
 *
 * The all-knowing accountant knows each request's cost beforehand and every
 * payment at once. With static shares each router has an equal part of every
 * payment and answers for it alone.
 */
import {type MoneyRequest, type Payments} from './moneyWorkload.js';

/** Decides on requests; costs and payments are in micros. */
export interface AdmissionStrategy {
  /** Tries to admit a request. */
  tryOpen(request: MoneyRequest): boolean;
  /** Whether money that may come back is worth a wait. */
  shouldWait(request: MoneyRequest): boolean;
  settle(request: MoneyRequest): void;
  topUp(customer: string, amount: number): void;
  /** Called whenever a link to the quorum is lost or back. */
  setPartitioned(routers: ReadonlySet<number>): void;
}

/** Knows everything beforehand. */
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

interface RouterShare {
  left: number;
  reserved: number;
  /** Part of a top-up that has not reached the router. */
  due: number;
}

/** Gives each router an equal share. */
export class StaticShareAdmission implements AdmissionStrategy {
  private readonly shares = new Map<string, RouterShare>();
  private cutOff: ReadonlySet<number> = new Set();

  constructor(
    payments: Map<string, Payments>,
    private readonly routers: number,
  ) {
    for (const [customer, {prepaid}] of payments) {
      for (let router = 0; router < routers; router++) {
        const left = Math.floor(prepaid / routers);
        this.shares.set(`${customer} ${router}`, {left, reserved: 0, due: 0});
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
      const share = this.shares.get(`${customer} ${router}`)!;
      share.due += Math.floor(amount / this.routers);
    }
    this.deliver();
  }

  setPartitioned(routers: ReadonlySet<number>): void {
    this.cutOff = routers;
    this.deliver();
  }

  private deliver(): void {
    for (const [name, share] of this.shares) {
      if (this.cutOff.has(Number(name.split(' ')[1]))) continue;
      share.left += share.due;
      share.due = 0;
    }
  }

  private shareOf({customer, router}: MoneyRequest): RouterShare {
    return this.shares.get(`${customer} ${router}`)!;
  }
}
