/**
 * @fileoverview Issues orders to backend servers while this replica is the
 * leader and holds the issuer lease.
 *
 * Each order carries the fencing number of the lease. It is sent only if its
 * timeout ends before the lease does by this process's clocks. A new issuer
 * sends orders to servers that ignore the fencing number only after a margin
 * for clock drift. One case is not covered: an order of an issuer that is paused
 * between its last clock check and the sending.
 */
import {
  type BackendStatus,
  type Order,
  OrderPlanner,
  type WantedOffer,
  wantedOffers,
} from '@dogwoodtrestle/routing';
import {type Command, type Contract, type Result} from '@dogwoodtrestle/schema';
import {request as sendRequest} from 'undici';

import {Stopwatch} from '../util/stopwatch.js';
import {type Clock, systemClock} from '@dogwoodtrestle/runtime';
import {type Logger, silentLogger} from '@dogwoodtrestle/runtime';
import {type Metrics, silentMetrics} from '../util/metrics.js';
import {createUnkeptAgent} from '../util/unkeptAgent.js';
import {PeriodicTask} from '@dogwoodtrestle/runtime';

/** Options of the issuer. */
export interface OrderIssuerOptions {
  /** Identity of this process: `name#incarnation`. */
  issuer: string;
  isLeader: () => boolean;
  contracts: () => Contract[];
  servers: () => BackendStatus[];
  submit: (command: Command) => Promise<Result>;
  /** Sends an order; resolves with the HTTP status code. */
  send?: (url: string, body: object) => Promise<number>;
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
  intervalMilliseconds?: number;
}

const defaultOptions = {
  send: postOrder,
  clock: systemClock,
  logger: silentLogger,
  metrics: silentMetrics,
  intervalMilliseconds: 3000,
};

const leaseMilliseconds = 12_000;
const orderTimeoutMilliseconds = 2000;
/** Time for which a new issuer skips servers that ignore fencing numbers. */
const clockMarginMilliseconds = leaseMilliseconds / 10 + 1000;
const conflictStatus = 409;

/** Plans and sends orders. */
export class OrderIssuer {
  private readonly options: Required<OrderIssuerOptions>;
  private readonly planner: OrderPlanner;
  private readonly task: PeriodicTask;
  private fencingNumber = 0;
  private leaseHeldSince = 0;

  constructor(options: OrderIssuerOptions) {
    this.options = {...defaultOptions, ...options};
    const {clock, logger, intervalMilliseconds} = this.options;
    this.planner = new OrderPlanner(clock.now());
    this.task = new PeriodicTask({
      name: 'orders',
      clock,
      logger,
      intervalMilliseconds,
      run: () => this.runOnce(),
    });
  }

  start(): void {
    this.task.start();
  }

  async stop(): Promise<void> {
    await this.task.stop();
  }

  /** Renews the lease and sends due orders; public for tests. */
  async runOnce(): Promise<void> {
    const {isLeader, clock} = this.options;
    if (!isLeader()) return;
    const sinceClaim = new Stopwatch(clock);
    if (!(await this.claimLease())) return;
    for (const order of this.planOrders()) {
      // The server must have answered before the lease ends.
      if (sinceClaim.hasElapsed(leaseMilliseconds - orderTimeoutMilliseconds)) {
        this.planner.removePending(order);
      } else {
        await this.sendOrder(order);
      }
    }
  }

  private async claimLease(): Promise<boolean> {
    const {submit, issuer, clock} = this.options;
    const lease = await submit({
      kind: 'claimIssuerLease',
      issuer,
      durationMilliseconds: leaseMilliseconds,
    });
    if (lease.kind !== 'lease' || !lease.held) return false;
    if (lease.fencingNumber !== this.fencingNumber) {
      this.fencingNumber = lease.fencingNumber;
      this.leaseHeldSince = clock.now();
    }
    return true;
  }

  private planOrders(): Order[] {
    const {servers, clock} = this.options;
    const now = clock.now();
    return this.planner.plan({
      wanted: this.listWantedOffers(),
      servers: servers(),
      fencingNumber: this.fencingNumber,
      olderIssuersEnded: now - this.leaseHeldSince >= clockMarginMilliseconds,
      now,
    });
  }

  private listWantedOffers(): WantedOffer[] {
    const {contracts, servers} = this.options;
    const announcements = servers()
      .filter(({state}) => state === 'serving')
      .map(({entry}) => entry.announcement)
      .filter(({kind}) => kind === 'model');
    const capacity = announcements.reduce(
      (sum, {load}) => sum + load.capacity,
      0,
    );
    return wantedOffers({
      contracts: contracts(),
      demand: ({model}) =>
        announcements
          .filter(({models}) => models.some(({name}) => name === model))
          .reduce((sum, {load}) => sum + load.running + load.queued, 0),
      serverCapacity: Math.max(1, capacity / Math.max(1, announcements.length)),
    });
  }

  private async sendOrder(order: Order): Promise<void> {
    const {servers, send, logger, metrics} = this.options;
    const {server, ...body} = order;
    const target = servers().find(
      ({entry}) => entry.announcement.name === server,
    );
    const url = target?.entry.announcement.url;
    const status = url === undefined ? 0 : await send(url, body).catch(() => 0);
    metrics.increment('orders.sent', 1, {order: order.order});
    logger.info({order, status}, 'order sent');
    if (status >= 200 && status < 300) return;
    this.planner.removePending(order);
    if (status !== conflictStatus) return;
    logger.warn(
      {order},
      'order rejected: the server has seen a higher fencing number',
    );
  }
}

/** Responses don't tell to which order they belong. */
const dispatcher = createUnkeptAgent();

/** Sends an order; resolves with the HTTP status code. */
export async function postOrder(url: string, body: object): Promise<number> {
  const response = await sendRequest(`${url}/v1/orders`, {
    dispatcher,
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(orderTimeoutMilliseconds),
  });
  await response.body.dump();
  return response.statusCode;
}
