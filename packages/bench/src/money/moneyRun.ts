/** @fileoverview Runs one workload with one admission strategy. */
import {VirtualTime} from '../routing/virtualTime.js';
import {type AdmissionStrategy} from './admission.js';
import {type MoneySetting} from './moneySetting.js';
import {type MoneyRequest, type MoneyWorkload} from './moneyWorkload.js';

/** Fractions of the run at which the partition begins and ends. */
const partitionStartFraction = 0.3;
const partitionEndFraction = 0.8;
/** Fraction of the run at which the top-up arrives, during the partition. */
const topUpFraction = 0.6;
/** Extra time for the last requests to complete. */
const tailMilliseconds = 60_000;

/** Result of a run; amounts in micros. */
export interface MoneyOutcome {
  /** Ids of the admitted requests. */
  served: Set<number>;
  spent: number;
  paid: number;
  /** Maximum spending beyond the payments, summed over all customers. */
  overspend: number;
}

/** Options of a run. */
export interface MoneyRunOptions {
  setting: MoneySetting;
  workload: MoneyWorkload;
  withPartition: boolean;
  admission: (time: VirtualTime) => AdmissionStrategy;
}

/** Payments and spending of one customer, in micros. */
interface CustomerAccount {
  paid: number;
  spent: number;
  overspend: number;
}

/** Runs a workload in virtual time. */
export function runMoney(options: MoneyRunOptions): MoneyOutcome {
  const {setting, workload, withPartition} = options;
  const {durationMilliseconds, payments} = workload;
  const time = new VirtualTime();
  const admission = options.admission(time);
  const simulation = new RequestSimulation(time, admission, setting);
  for (const [customer, {prepaid, topUp}] of payments) {
    simulation.accounts.set(customer, {paid: prepaid, spent: 0, overspend: 0});
    time.after(durationMilliseconds * topUpFraction, () => {
      simulation.accounts.get(customer)!.paid += topUp;
      admission.topUp(customer, topUp);
      simulation.retry(customer);
    });
  }
  if (withPartition) {
    const partitionedRouters = lastDomain(setting);
    time.after(durationMilliseconds * partitionStartFraction, () =>
      admission.setPartitioned(partitionedRouters),
    );
    time.after(durationMilliseconds * partitionEndFraction, () =>
      admission.setPartitioned(new Set()),
    );
  }
  for (const request of workload.requests) {
    time.after(request.at, () => simulation.handleArrival(request));
  }
  time.runUntil(durationMilliseconds + tailMilliseconds);
  const accounts = [...simulation.accounts.values()];
  const total = (name: keyof CustomerAccount): number =>
    accounts.reduce((sum, account) => sum + account[name], 0);
  return {
    served: simulation.served,
    spent: total('spent'),
    paid: total('paid'),
    overspend: total('overspend'),
  };
}

/** Returns the routers of the last failure domain. */
function lastDomain({routers}: MoneySetting): ReadonlySet<number> {
  const domain = routers.at(-1);
  return new Set(
    routers.flatMap((name, router) => (name === domain ? [router] : [])),
  );
}

interface WaitingRequest {
  request: MoneyRequest;
  deadline: number;
}

/** Serves requests and queues those that may become affordable. */
class RequestSimulation {
  readonly served = new Set<number>();
  readonly accounts = new Map<string, CustomerAccount>();
  private readonly waiting = new Map<string, WaitingRequest[]>();

  constructor(
    private readonly time: VirtualTime,
    private readonly admission: AdmissionStrategy,
    private readonly setting: MoneySetting,
  ) {}

  handleArrival(request: MoneyRequest): void {
    if (this.tryServe(request) || !this.admission.shouldWait(request)) return;
    const waitMilliseconds = this.setting.partition.exhaustionWaitMilliseconds;
    const deadline = this.time.now + waitMilliseconds;
    const queue = this.waiting.get(request.customer) ?? [];
    queue.push({request, deadline});
    this.waiting.set(request.customer, queue);
  }

  /** Retries the waiting requests of a customer, oldest first. */
  retry(customer: string): void {
    const queue = this.waiting.get(customer) ?? [];
    const stillWaiting = queue.filter(
      ({request, deadline}) =>
        deadline >= this.time.now && !this.tryServe(request),
    );
    this.waiting.set(customer, stillWaiting);
  }

  private tryServe(request: MoneyRequest): boolean {
    if (!this.admission.tryOpen(request)) return false;
    this.served.add(request.id);
    this.time.after(request.durationMilliseconds, () => this.finish(request));
    return true;
  }

  private finish(request: MoneyRequest): void {
    const {customer, cost} = request;
    const account = this.accounts.get(customer)!;
    account.spent += cost;
    account.overspend = Math.max(
      account.overspend,
      account.spent - account.paid,
    );
    this.admission.settle(request);
    this.retry(customer);
  }
}
