/**
 * @fileoverview Plans the orders that make backend servers load the wanted
 * models, within the rate that the weight store allows.
 *
 * Only the holder of the issuer lease plans, and each order carries the fencing
 * number of the lease. Servers that ignore fencing numbers get orders only once
 * the leases of older issuers have ended for certain.
 */
import {type Announcement} from '@dogwoodtrestle/schema';

import {type BackendStatus} from '../backendDirectory.js';
import {TokenBucket} from '../util/tokenBucket.js';
import {type ModelOffer, offerKey, type WantedOffer} from './wantedOffers.js';

/** Operation that an order asks for. */
export type OrderKind =
  'loadModel' | 'loadAdapter' | 'loadVersion' | 'changeRole';

/** Order to a backend server; sent as JSON. */
export interface Order extends Partial<ModelOffer> {
  /** Name of the backend server. */
  server: string;
  order: OrderKind;
  /** New role; only for `changeRole`. */
  role?: string;
  /** Fencing number of the issuer lease. */
  fencingNumber: number;
}

/** Rate limit and timeout of orders. */
export interface OrderPlannerOptions {
  /** Rate limit of loads from the weight store. */
  loadsPerMinute: number;
  /** Loads that may be ordered at once after an idle period. */
  burst: number;
  /** Time without effect in announcements after which an order has failed. */
  orderTimeoutMilliseconds: number;
}

/** Default rate limit and timeout. */
export const defaultOrderPlannerOptions: OrderPlannerOptions = {
  loadsPerMinute: 6,
  burst: 2,
  orderTimeoutMilliseconds: 120_000,
};

/** Wanted and current state of the servers. */
export interface OrderPlannerInput {
  /** Wanted offers, the most urgent first. */
  wanted: readonly WantedOffer[];
  servers: readonly BackendStatus[];
  /** Fencing number of the issuer lease. */
  fencingNumber: number;
  /** Whether no older issuer can still send orders. */
  olderIssuersEnded: boolean;
  /** Monotonic milliseconds. */
  now: number;
}

interface PendingOrder {
  order: Order;
  issuedAt: number;
}

/** Plans orders and keeps track of those that have not taken effect. */
export class OrderPlanner {
  private readonly options: OrderPlannerOptions;
  private readonly loadLimiter: TokenBucket;
  private pending: PendingOrder[] = [];

  constructor(now: number, options: Partial<OrderPlannerOptions> = {}) {
    this.options = {...defaultOrderPlannerOptions, ...options};
    const {loadsPerMinute, burst} = this.options;
    this.loadLimiter = new TokenBucket(
      {tokensPerSecond: loadsPerMinute / 60, burst},
      now,
    );
  }

  /**
   * Returns the orders to send now. Each is pending until announcements show its
   * effect, it times out or `removePending` is called.
   */
  plan(input: OrderPlannerInput): Order[] {
    const {now} = input;
    this.removeFinished(input);
    const orders: Order[] = [];
    for (const wanted of input.wanted) {
      while (this.countOfferingOrPending(wanted, input) < wanted.servers) {
        if (this.loadLimiter.waitMilliseconds(1, now) > 0) return orders;
        const order = this.createOrder(wanted, input);
        if (!order) break;
        this.loadLimiter.take(1, now);
        this.pending.push({order, issuedAt: now});
        orders.push(order);
      }
    }
    return orders;
  }

  /** Removes an order that was not sent or that the server refused. */
  removePending(order: Order): void {
    this.pending = this.pending.filter(each => each.order !== order);
  }

  private removeFinished({servers, now}: OrderPlannerInput): void {
    const byName = new Map(
      servers.map(({entry}) => [entry.announcement.name, entry.announcement]),
    );
    this.pending = this.pending.filter(({order, issuedAt}) => {
      const server = byName.get(order.server);
      if (!server || now - issuedAt >= this.options.orderTimeoutMilliseconds) {
        return false;
      }
      return !offersModel(server, toOffer(order));
    });
  }

  private countOfferingOrPending(
    wanted: WantedOffer,
    {servers}: OrderPlannerInput,
  ): number {
    const key = offerKey(wanted);
    const pending = this.pending.filter(
      ({order}) => offerKey(toOffer(order)) === key,
    );
    const offering = servers.filter(
      ({entry, state}) =>
        state === 'serving' && offersModel(entry.announcement, wanted),
    );
    return pending.length + offering.length;
  }

  private createOrder(
    wanted: WantedOffer,
    input: OrderPlannerInput,
  ): Order | undefined {
    const eligible = input.servers.filter(status =>
      this.isEligible(status, wanted, input),
    );
    const offeringDomains = input.servers
      .filter(({entry}) => offersModel(entry.announcement, wanted))
      .map(({entry}) => entry.announcement.failureDomain);
    const best = minimumBy(eligible, ({entry: {announcement}}) => [
      offeringDomains.filter(each => each === announcement.failureDomain)
        .length,
      announcement.models.length,
      announcement.load.running + announcement.load.queued,
    ]);
    if (!best) return undefined;
    const {announcement} = best.entry;
    const {model, version, adapter} = wanted;
    return {
      server: announcement.name,
      order: orderKind(announcement, wanted),
      model,
      version,
      adapter,
      fencingNumber: input.fencingNumber,
    };
  }

  private isEligible(
    {entry: {announcement}, state}: BackendStatus,
    wanted: WantedOffer,
    {olderIssuersEnded}: OrderPlannerInput,
  ): boolean {
    if (state !== 'serving' || announcement.kind !== 'model') return false;
    if (announcement.features.fencing === 'ignored' && !olderIssuersEnded) {
      return false;
    }
    if (this.pending.some(({order}) => order.server === announcement.name)) {
      return false;
    }
    if (offersModel(announcement, wanted)) return false;
    const {model, version} = wanted;
    return (
      wanted.adapter === undefined ||
      offersModel(announcement, {model, version})
    );
  }
}

/** Whether the server has the model loaded, with the adapter if given. */
export function offersModel(
  {models}: Announcement,
  {model, version, adapter}: ModelOffer,
): boolean {
  return models.some(
    offered =>
      offered.name === model &&
      (version === undefined || offered.version === version) &&
      (adapter === undefined || offered.adapters.includes(adapter)),
  );
}

function orderKind(announcement: Announcement, offer: ModelOffer): OrderKind {
  if (offer.adapter !== undefined) return 'loadAdapter';
  const hasModel = offersModel(announcement, {model: offer.model});
  return hasModel ? 'loadVersion' : 'loadModel';
}

function toOffer({model = '', version, adapter}: Order): ModelOffer {
  return {model, version, adapter};
}

/** Returns the item with the lexicographically smallest key. */
function minimumBy<T>(
  items: readonly T[],
  keyOf: (item: T) => readonly number[],
): T | undefined {
  let minimum: {item: T; key: readonly number[]} | undefined;
  for (const item of items) {
    const key = keyOf(item);
    if (!minimum || isLess(key, minimum.key)) minimum = {item, key};
  }
  return minimum?.item;
}

function isLess(a: readonly number[], b: readonly number[]): boolean {
  const index = a.findIndex((value, position) => value !== b[position]);
  return index >= 0 && a[index]! < b[index]!;
}
