/**
 * @fileoverview Plans orders to backend servers so that they come to offer
 * what is wanted, within the rate of the weight store.
 *
 * Only the holder of the issuer lease plans; each order carries its fencing
 * number. Servers that ignore the number get orders only once the older
 * issuer's lease has certainly ended.
 */
import {type Announcement} from '@dogwoodtrestle/schema';

import {type BackendStatus} from '../directory.js';
import {TokenBucket} from '../util/tokenBucket.js';
import {type ModelOffer, offerKey, type WantedOffer} from './wantedOffers.js';

export type OrderKind =
  'loadModel' | 'loadAdapter' | 'loadVersion' | 'changeRole';

export interface Order extends Partial<ModelOffer> {
  /** Name of the backend server. */
  server: string;
  order: OrderKind;
  role?: string;
  fencingNumber: number;
}

export interface OrderPlannerOptions {
  /** Loads from the weight store. */
  loadsPerMinute: number;
  /** Loads that may be under way at a time after a quiet period. */
  burst: number;
  /** An order that hasn't shown in announcements by then has failed. */
  orderTimeoutMilliseconds: number;
}

export const defaultOrderPlannerOptions: OrderPlannerOptions = {
  loadsPerMinute: 6,
  burst: 2,
  orderTimeoutMilliseconds: 120_000,
};

export interface OrderPlannerInput {
  wanted: readonly WantedOffer[];
  servers: readonly BackendStatus[];
  fencingNumber: number;
  /** Whether no older issuer can still be sending orders. */
  olderIssuersEnded: boolean;
  now: number;
}

interface PendingOrder {
  order: Order;
  issuedAt: number;
}

export class OrderPlanner {
  private readonly options: OrderPlannerOptions;
  private readonly weightStore: TokenBucket;
  private pending: PendingOrder[] = [];

  constructor(now: number, options: Partial<OrderPlannerOptions> = {}) {
    this.options = {...defaultOrderPlannerOptions, ...options};
    const {loadsPerMinute, burst} = this.options;
    this.weightStore = new TokenBucket(
      {tokensPerSecond: loadsPerMinute / 60, burst},
      now,
    );
  }

  /** Orders to send now; each counts as under way until it shows. */
  plan(input: OrderPlannerInput): Order[] {
    const {now} = input;
    this.dropDone(input);
    const orders: Order[] = [];
    for (const wanted of input.wanted) {
      while (this.countOf(wanted, input) < wanted.servers) {
        if (this.weightStore.waitFor(1, now) > 0) return orders;
        const order = this.orderFor(wanted, input);
        if (!order) break;
        this.weightStore.take(1, now);
        this.pending.push({order, issuedAt: now});
        orders.push(order);
      }
    }
    return orders;
  }

  /** Gives up on an order that the server refused. */
  removePending(order: Order): void {
    this.pending = this.pending.filter(each => each.order !== order);
  }

  private dropDone({servers, now}: OrderPlannerInput): void {
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

  private countOf(wanted: WantedOffer, {servers}: OrderPlannerInput): number {
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

  private orderFor(
    wanted: WantedOffer,
    input: OrderPlannerInput,
  ): Order | undefined {
    const eligible = input.servers.filter(status =>
      this.isEligible(status, wanted, input),
    );
    const offeringDomains = input.servers
      .filter(({entry}) => offersModel(entry.announcement, wanted))
      .map(({entry}) => entry.announcement.failureDomain);
    const best = leastBy(eligible, ({entry: {announcement}}) => [
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

/** Whether the server has the offer loaded. */
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

/** The item whose key is lowest, compared number by number. */
function leastBy<T>(
  items: readonly T[],
  keyOf: (item: T) => readonly number[],
): T | undefined {
  let least: {item: T; key: readonly number[]} | undefined;
  for (const item of items) {
    const key = keyOf(item);
    if (!least || isBelow(key, least.key)) least = {item, key};
  }
  return least?.item;
}

function isBelow(a: readonly number[], b: readonly number[]): boolean {
  const index = a.findIndex((value, place) => value !== b[place]);
  return index >= 0 && a[index]! < b[index]!;
}
