/** @fileoverview Runs one workload against one way to admit requests. */
import {VirtualTime} from '../routing/virtualTime.js';
import {type AdmissionStrategy} from './admission.js';
import {type MoneySetting} from './moneySetting.js';
import {type MoneyRequest, type MoneyWorkload} from './moneyWorkload.js';

/** Parts of the run at which a failure domain is cut off and back. */
const cutFrom = 0.3;
const cutUntil = 0.8;
/** Part of the run at which the top-up comes, within the partition. */
const topUpAt = 0.6;
/** Time for the last requests to end. */
const tailMilliseconds = 60_000;

/** What became of a workload; amounts in micros. */
export interface MoneyOutcome {
  served: Set<number>;
  spent: number;
  paid: number;
  /** Most that a customer had spent beyond its payments, summed up. */
  overspend: number;
}

/** Options of a run. */
export interface MoneyRunOptions {
  setting: MoneySetting;
  workload: MoneyWorkload;
  withPartition: boolean;
  admission: (time: VirtualTime) => AdmissionStrategy;
}

interface Purse {
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
  const desk = new Desk(time, admission, setting);
  for (const [customer, {prepaid, topUp}] of payments) {
    desk.purses.set(customer, {paid: prepaid, spent: 0, overspend: 0});
    time.after(durationMilliseconds * topUpAt, () => {
      desk.purses.get(customer)!.paid += topUp;
      admission.topUp(customer, topUp);
      desk.retry(customer);
    });
  }
  if (withPartition) {
    const cutOff = lastDomain(setting);
    time.after(durationMilliseconds * cutFrom, () =>
      admission.setPartitioned(cutOff),
    );
    time.after(durationMilliseconds * cutUntil, () =>
      admission.setPartitioned(new Set()),
    );
  }
  for (const request of workload.requests) {
    time.after(request.at, () => desk.arrive(request));
  }
  time.runUntil(durationMilliseconds + tailMilliseconds);
  const purses = [...desk.purses.values()];
  const total = (name: keyof Purse): number =>
    purses.reduce((sum, purse) => sum + purse[name], 0);
  return {
    served: desk.served,
    spent: total('spent'),
    paid: total('paid'),
    overspend: total('overspend'),
  };
}

/** Routers of the last failure domain. */
function lastDomain({routers}: MoneySetting): ReadonlySet<number> {
  const domain = routers.at(-1);
  return new Set(
    routers.flatMap((name, router) => (name === domain ? [router] : [])),
  );
}

interface Waiting {
  request: MoneyRequest;
  deadline: number;
}

/** Serves requests, and lets those wait that money may come back for. */
class Desk {
  readonly served = new Set<number>();
  readonly purses = new Map<string, Purse>();
  private readonly waiting = new Map<string, Waiting[]>();

  constructor(
    private readonly time: VirtualTime,
    private readonly admission: AdmissionStrategy,
    private readonly setting: MoneySetting,
  ) {}

  arrive(request: MoneyRequest): void {
    if (this.tryServe(request) || !this.admission.shouldWait(request)) return;
    const wait = this.setting.partition.exhaustionWaitMilliseconds;
    const deadline = this.time.now + wait;
    const queue = this.waiting.get(request.customer) ?? [];
    queue.push({request, deadline});
    this.waiting.set(request.customer, queue);
  }

  /** Tries the waiting requests of a customer again, oldest first. */
  retry(customer: string): void {
    const queue = this.waiting.get(customer) ?? [];
    const left = queue.filter(
      ({request, deadline}) =>
        deadline >= this.time.now && !this.tryServe(request),
    );
    this.waiting.set(customer, left);
  }

  private tryServe(request: MoneyRequest): boolean {
    if (!this.admission.tryOpen(request)) return false;
    this.served.add(request.id);
    this.time.after(request.durationMilliseconds, () => this.finish(request));
    return true;
  }

  private finish(request: MoneyRequest): void {
    const {customer, cost} = request;
    const purse = this.purses.get(customer)!;
    purse.spent += cost;
    purse.overspend = Math.max(purse.overspend, purse.spent - purse.paid);
    this.admission.settle(request);
    this.retry(customer);
  }
}
