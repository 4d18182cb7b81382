/**
 * @fileoverview Routers that follow a leader, lend tokens to each other and
 * reserve them for requests, in virtual time. Messages to a router take as long
 * as the queue of its link.
 */
import {
  changesBetween,
  emptyPrepaidState,
  GrantPlanner,
  HeldGrants,
  type PrepaidState,
  recordUsage,
} from '@dogwoodtrestle/fleet';
import {
  MetricsRegistry,
  type PeerCallClient,
  silentLogger,
  sleep,
} from '@dogwoodtrestle/runtime';
import {
  type FleetConfiguration,
  type LoanRequest,
  type UsageReply,
  type UsageReport,
  type WatchReply,
  type WatchRequest,
} from '@dogwoodtrestle/schema';
import {seededRandom} from '@dogwoodtrestle/testkit';

import {ControlPlaneClient} from '../../src/controlPlaneClient.js';
import {defaultEdgeOptions, type EdgeOptions} from '../../src/edgeOptions.js';
import {Loans} from '../../src/loans.js';
import {RouterIdentity} from '../../src/routerIdentity.js';
import {ReplyCounter} from '../../src/replyCounter.js';
import {reserveTokens} from '../../src/tokenReservation.js';
import {createVirtualClock} from './virtualClock.js';

/** Load and link of a fleet. Times are in milliseconds. */
export interface DelayedLoad {
  seed: number;
  routers: number;
  customers: number;
  requestsPerSecond: number;
  /** Prepaid totals as a multiple of the expected usage. */
  prepaidFactor: number;
  durationMilliseconds: number;
  /** Whether each customer's requests enter at one router. */
  isUneven: boolean;
  /** Customer, by rank, whose router has a busy link. */
  busyCustomer: number;
  /** Delay of messages to that router. */
  delayMilliseconds: number;
  /** Span in which its link is busy. */
  busyFrom: number;
  busyUntil: number;
}

/**
 * What became of a customer's requests that its total covers, while the link was
 * busy.
 */
export interface CustomerOutcome {
  served: number;
  refused: number;
}

/** Result of a day. */
export interface DelayedOutcome {
  customers: CustomerOutcome[];
  /** Tokens used beyond the totals, summed over all customers. */
  overspent: number;
  /** Time from the change of the configuration until a busy router has it. */
  configurationMilliseconds: number;
}

interface VirtualRouter {
  address: string;
  grants: HeldGrants;
  loans: Loans;
  control: ControlPlaneClient;
  options: EdgeOptions;
}

const leader = 'leader';
const networkMilliseconds = 2;
const watchMilliseconds = 1_000;
const commitMilliseconds = 5;
const requestMilliseconds = 1_200;
const medianTokens = 2_000;
const tokenSigma = 1.3;
const maxTokens = 55_000;

/** Share of a total that may be reserved when a refusal still counts. */
const coveredShare = 0.97;

function createConfiguration(version: number): FleetConfiguration {
  const limits = {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMilliseconds: 1,
    idleTimeoutMilliseconds: 1,
  };
  return {version, routes: [], services: [], limits};
}

/** Plays one day. */
export async function playDelayedDay(
  load: DelayedLoad,
): Promise<DelayedOutcome> {
  return new DelayedFleet(load).play();
}

class DelayedFleet {
  private readonly clock = createVirtualClock();
  private readonly random: () => number;
  private readonly book: PrepaidState = emptyPrepaidState();
  private readonly planner: GrantPlanner;
  private readonly addresses: string[];
  private readonly routers: VirtualRouter[];
  private readonly byAddress: Map<string, VirtualRouter>;
  private readonly customers: string[];
  private readonly weights: number[];
  private readonly prepaid: number[];
  private readonly used: number[];
  private readonly outcomes: CustomerOutcome[];
  private configuration = createConfiguration(1);
  private startedAt = Infinity;
  private configurationWaiters: Array<() => void> = [];

  constructor(private readonly load: DelayedLoad) {
    const {seed, customers, routers} = load;
    this.random = seededRandom(seed);
    this.customers = Array.from({length: customers}, (_, n) => `c-${n}`);
    this.weights = this.customers.map((_, rank) => 1 / (rank + 1));
    this.used = this.customers.map(() => 0);
    this.outcomes = this.customers.map(() => ({served: 0, refused: 0}));
    const mean = medianTokens * Math.exp(tokenSigma ** 2 / 2);
    const {durationMilliseconds, requestsPerSecond, prepaidFactor} = load;
    const all = (durationMilliseconds / 1_000) * requestsPerSecond * mean;
    const total = this.weights.reduce((sum, weight) => sum + weight, 0);
    this.prepaid = this.weights.map(weight =>
      Math.floor((all * prepaidFactor * weight) / total),
    );
    this.addresses = Array.from({length: routers}, (_, n) => `r-${n}:1`);
    this.planner = new GrantPlanner(
      {prepaid: this.book, prepaidOf: name => this.prepaidOf(name)},
      () => this.addresses,
    );
    this.routers = this.addresses.map(address => this.createRouter(address));
    this.byAddress = new Map(this.routers.map(one => [one.address, one]));
  }

  async play(): Promise<DelayedOutcome> {
    const {clock, load} = this;
    for (const {control} of this.routers) control.start();
    await clock.runUntil(clock.now() + 1_000);
    const start = clock.now();
    this.startedAt = start;
    this.scheduleRequest();
    await clock.runUntil(start + load.busyUntil - 4_000);
    const changedAt = clock.now();
    this.configuration = createConfiguration(2);
    for (const resume of this.configurationWaiters.splice(0)) resume();
    let configurationMilliseconds = Infinity;
    const {control} = this.routers[this.busyRouter]!;
    while (clock.now() < start + load.durationMilliseconds) {
      await clock.runUntil(clock.now() + 50);
      if (control.routes?.version !== 2) continue;
      configurationMilliseconds = Math.min(
        configurationMilliseconds,
        clock.now() - changedAt,
      );
    }
    for (const router of this.routers) router.control.stop();
    const overspent = this.used.reduce(
      (sum, used, rank) => sum + Math.max(0, used - this.prepaid[rank]!),
      0,
    );
    return {customers: this.outcomes, overspent, configurationMilliseconds};
  }

  private get busyRouter(): number {
    return this.routerOf(this.load.busyCustomer);
  }

  private routerOf(rank: number): number {
    return (rank * 7) % this.load.routers;
  }

  private prepaidOf(name: string): number {
    return this.prepaid[this.customers.indexOf(name)] ?? 0;
  }

  private scheduleRequest(): void {
    const {clock, load, random} = this;
    const wait = (-Math.log(1 - random()) / load.requestsPerSecond) * 1_000;
    clock.setTimer(wait, () => {
      void this.receive();
      this.scheduleRequest();
    });
  }

  private async receive(): Promise<void> {
    const {clock, random, load} = this;
    const rank = this.pickCustomer();
    const isBusyCustomer = rank === load.busyCustomer;
    const index =
      load.isUneven || isBusyCustomer
        ? this.routerOf(rank)
        : Math.floor(random() * load.routers);
    const {grants, loans, control, options} = this.routers[index]!;
    const normal =
      Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    const tokens = Math.ceil(
      Math.min(maxTokens, medianTokens * Math.exp(tokenSigma * normal)),
    );
    const workspace = this.customers[rank]!;
    const demand = {workspace, tokens, request: 'request'};
    const {isBusy} = this;
    const result = await reserveTokens(
      {grants, clock, control, loans, options},
      demand,
      () => false,
    );
    const outcome = isBusy ? this.outcomes[rank]! : {served: 0, refused: 0};
    if ('refusal' in result) {
      const covered = coveredShare * this.prepaid[rank]!;
      if (this.used[rank]! + tokens <= covered) outcome.refused++;
      return;
    }
    outcome.served++;
    this.used[rank]! += tokens;
    clock.setTimer(requestMilliseconds, () => {
      grants.settle(result.reservation, tokens);
    });
  }

  private pickCustomer(): number {
    const total = this.weights.reduce((sum, weight) => sum + weight, 0);
    let left = this.random() * total;
    const rank = this.weights.findIndex(weight => (left -= weight) < 0);
    return rank < 0 ? 0 : rank;
  }

  /** Whether the link of the busy router is busy now. */
  private get isBusy(): boolean {
    const {busyFrom, busyUntil} = this.load;
    const at = this.clock.now() - this.startedAt;
    return at >= busyFrom && at < busyUntil;
  }

  /** Time that a message to an address takes. */
  private delayTo(address: string): number {
    const {delayMilliseconds} = this.load;
    const isLate = this.isBusy && address === this.addresses[this.busyRouter];
    return isLate
      ? networkMilliseconds + delayMilliseconds * (0.5 + this.random())
      : networkMilliseconds;
  }

  private createRouter(address: string): VirtualRouter {
    const {clock, random} = this;
    const grants = new HeldGrants();
    const metrics = new MetricsRegistry();
    const options: EdgeOptions = {
      ...defaultEdgeOptions,
      instance: address,
      failureDomain: 'domain-1',
      callerAddress: '',
      peerAddress: address,
      seeds: () => [leader],
      codec: {
        decodeRequest: () => undefined,
        encodeRequest: () => [],
        decodeResponse: () => {
          throw new Error('no response is decoded here');
        },
      },
      logger: silentLogger,
      metrics,
      clock,
      random,
    };
    const calls = this.callsOf(address);
    const id = `${address}/1`;
    const identity = new RouterIdentity({
      clock,
      instance: address,
      steadyClock: 'boot-1',
      generateId: () => id,
    });
    const replies = new ReplyCounter(options);
    const control = new ControlPlaneClient(
      options,
      calls,
      identity,
      grants,
      {onServers: () => undefined, topics: []},
      replies,
    );
    const participant = {
      life: () => id,
      grants,
      routers: () => control.routers,
      isConnected: () => control.isConnected,
      report: () => control.report(),
    };
    const loans = new Loans(options, calls, participant, replies);
    return {address, grants, loans, control, options};
  }

  /** Calls of a router: late on busy links, and ended by their timeouts. */
  private callsOf(caller: string): PeerCallClient {
    const {clock} = this;
    const call = async (
      address: string,
      method: string,
      message: unknown,
      {
        timeoutMilliseconds,
        signal,
      }: {timeoutMilliseconds: number; signal?: AbortSignal},
    ): Promise<unknown> => {
      const exchange = async () => {
        await sleep(clock, this.delayTo(address));
        const reply = await this.handle(address, method, message);
        await sleep(clock, this.delayTo(caller));
        return reply;
      };
      return new Promise((resolve, reject) => {
        const fail = () => reject(new Error(`${method} timed out`));
        clock.setTimer(timeoutMilliseconds, fail);
        signal?.addEventListener('abort', fail);
        exchange().then(resolve, reject);
      });
    };
    return {call, renew: () => undefined} as unknown as PeerCallClient;
  }

  private async handle(
    address: string,
    method: string,
    message: unknown,
  ): Promise<unknown> {
    if (method === 'lend') {
      const lender = this.byAddress.get(address);
      if (lender === undefined) throw new Error('unknown lender');
      return lender.loans.lend(message as LoanRequest);
    }
    return method === 'watch'
      ? this.watch(message as WatchRequest)
      : this.recordReport(message as UsageReport);
  }

  private async watch(request: WatchRequest): Promise<WatchReply> {
    if (request.configurationVersion >= this.configuration.version) {
      await new Promise<void>(resolve => {
        this.configurationWaiters.push(resolve);
        this.clock.setTimer(watchMilliseconds, resolve);
      });
    }
    const isOutdated =
      request.configurationVersion < this.configuration.version;
    return {
      kind: 'update',
      replicas: [leader],
      routers: this.addresses.length,
      peersRevision: 1,
      ...(request.peersRevision !== 1 && {peers: this.addresses}),
      ...(isOutdated && {
        configuration: changesBetween(undefined, this.configuration),
      }),
    };
  }

  private async recordReport(report: UsageReport): Promise<UsageReply> {
    const {router, address, usages, reportedAt, reportedWallAt, life} = report;
    const now = this.clock.now();
    this.planner.recordReport(router, usages, now);
    const plans = usages.map(usage =>
      this.planner.plan({router, address}, usage, false),
    );
    await sleep(this.clock, commitMilliseconds);
    const reading = {clock: leader, steady: now, wall: now};
    const {outcomes, breaches} = recordUsage(
      this.book,
      {
        kind: 'recordUsage',
        router,
        life,
        reportedAt,
        reportedWallAt,
        leaderTime: reading,
        recordedAt: reading,
        entries: plans.map(({entry}) => entry),
      },
      name => this.prepaidOf(name),
      now,
    );
    if (breaches.length > 0) throw new Error('a router overspent');
    return {
      kind: 'grants',
      reportedAt,
      isOver: false,
      leaderTime: reading,
      offers: outcomes.map(({workspace, granted}, index) => ({
        workspace,
        granted,
        target: plans[index]?.target ?? 0,
        remaining: this.planner.remaining(workspace),
      })),
    };
  }
}
