/**
 * @fileoverview Simulates routers that share servers which state limits, in
 * virtual time and with the fleet package's limits, leases and server choice.
 *
 * Calls to the leader take no time and are made once a second by each router; a
 * request ends at a server after a fixed time.
 */
import {
  basePart,
  chooseServer,
  DecayingRate,
  defaultLimitPolicy,
  LimitShares,
  RequestLimit,
} from '@dogwoodtrestle/fleet';

import {exponential, seededRandom, weightedIndex} from '../util/random.js';

/** Fleet, load and limits of one run. Times in milliseconds. */
export interface LimitDay {
  seed: number;
  routers: number;
  servers: number;
  /** Requests per second of all callers. */
  requestsPerSecond: number;
  /** Whether a tenth of the routers gets half of the requests. */
  isEntryUneven: boolean;
  /** Servers that state a limit. */
  limitedServers: number;
  /** Limit of each of them, in requests per second. */
  perSecond: number;
  durationMilliseconds: number;
  /** Time from which no router reaches a leader. */
  leaderGoneAt?: number;
}

/** How the limit of a server is divided. */
export type LimitPolicyName =
  | 'whole limit at each router'
  | 'equal shares'
  | 'few routers'
  | 'leases by demand';

/** Result of a run. */
export interface LimitDayOutcome {
  /** Largest number of requests at one server in 4 s, as a share of the allowed. */
  largestWindowShare: number;
  /** Requests at limited servers as a share of what their limits allow. */
  usedShare: number;
  /** Requests that no server could take, as a share of all. */
  refusedShare: number;
}

/** Time that a request spends at a server. */
const serviceMilliseconds = 300;

const pollMilliseconds = 1_000;

/** Limits are stated from the start; leases need a moment to settle. */
const warmUpMilliseconds = 15_000;

const windowMilliseconds = 4_000;

/** Routers that use a server at all, where few do. */
const fewRouters = 3;

interface ModelServer {
  id: string;
  isLimited: boolean;
  arrivals: number[];
}

interface ModelRouter {
  address: string;
  /** Share of all requests. */
  weight: number;
  limits: RequestLimit[];
  openRequests: number[];
  demand: DecayingRate;
}

/** Runs one simulation. */
export function simulateLimitDay(
  day: LimitDay,
  policy: LimitPolicyName,
): LimitDayOutcome {
  return new LimitSimulation(day, policy).run();
}

class LimitSimulation {
  private now = 0;
  private readonly random: () => number;
  private readonly servers: ModelServer[];
  private readonly routers: ModelRouter[];
  private readonly shares = new LimitShares('model');
  /** Ends of open requests in order: time, router, server. */
  private readonly ends: Array<[number, ModelRouter, number]> = [];
  private asked = 0;
  private refused = 0;

  constructor(
    private readonly day: LimitDay,
    private readonly policy: LimitPolicyName,
  ) {
    this.random = seededRandom(day.seed);
    this.servers = Array.from({length: day.servers}, (_, index) => ({
      id: `server-${index}`,
      isLimited: index < day.limitedServers,
      arrivals: [],
    }));
    const busy = Math.max(1, Math.round(day.routers / 10));
    this.routers = Array.from({length: day.routers}, (_, index) => ({
      address: `router-${index}`,
      weight: entryWeight(index, busy, day),
      limits: this.servers.map(() => new RequestLimit(() => this.now)),
      openRequests: this.servers.map(() => 0),
      demand: new DecayingRate(3_000),
    }));
    this.shares.enterTerm({term: 1, isFirst: true}, 0);
  }

  run(): LimitDayOutcome {
    const {routers, requestsPerSecond, durationMilliseconds} = this.day;
    for (const router of this.routers) this.learnLimits(router);
    const weights = this.routers.map(({weight}) => weight);
    let nextRequest = 0;
    let polls = 0;
    while (this.now < durationMilliseconds) {
      const nextPoll = (polls * pollMilliseconds) / routers;
      this.now = Math.min(nextRequest, nextPoll);
      this.endRequests();
      if (nextPoll <= nextRequest) {
        this.poll(this.routers[polls % routers]!);
        polls++;
        continue;
      }
      this.request(this.routers[weightedIndex(weights, this.random)]!);
      nextRequest += exponential(requestsPerSecond / 1_000, this.random);
    }
    return this.outcome();
  }

  private learnLimits(router: ModelRouter): void {
    const {perSecond} = this.day;
    for (const [index, server] of this.servers.entries()) {
      if (!server.isLimited) continue;
      router.limits[index]!.known.recordResponse(
        {perSecond},
        {sentAt: 0, now: 0, isCertain: true},
      );
      this.divide(router, index);
    }
  }

  /** Sets the parts of policies without a leader, and the base part. */
  private divide(router: ModelRouter, index: number): void {
    const limit = router.limits[index]!;
    const {perSecond, routers: count} = this.day;
    const {id} = this.servers[index]!;
    const addresses = this.routers.map(({address}) => address);
    const position = {
      address: router.address,
      routers: addresses,
      routerCount: count,
    };
    const parts: Record<LimitPolicyName, () => number> = {
      'whole limit at each router': () => 1,
      'equal shares': () => 1 / count,
      'few routers': () =>
        basePart(id, perSecond, position, {
          ...defaultLimitPolicy,
          leasedPart: 0,
          baseHoldersPerRequest: fewRouters / perSecond,
        }),
      'leases by demand': () => basePart(id, perSecond, position),
    };
    limit.setBasePart(parts[this.policy]());
  }

  private poll(router: ModelRouter): void {
    if (this.policy !== 'leases by demand') return;
    if (this.now >= (this.day.leaderGoneAt ?? Infinity)) return;
    const {now} = this;
    const demand = router.demand.value(now);
    const reports = this.servers.flatMap(({id, isLimited}, index) => {
      if (!isLimited) return [];
      const limit = router.limits[index]!;
      return [
        {
          server: id,
          service: 'service',
          startedAt: 1,
          demand: demand,
          share: limit.leasedShare(now),
          lease: limit.leaseId,
          observation: {perSecond: this.day.perSecond, ageMilliseconds: 0},
        },
      ];
    });
    this.shares.record(router.address, reports, now);
    for (const {server, lease} of this.shares.notices(router.address, now)) {
      const index = Number(server.split('-')[1]);
      router.limits[index]!.setLease(lease, {sentAt: now, wallSentAt: now});
    }
  }

  private request(router: ModelRouter): void {
    const {now} = this;
    const isCounted = now >= warmUpMilliseconds;
    if (isCounted) this.asked++;
    router.demand.add(1, now);
    const candidates = this.servers.flatMap(({id}, index) => {
      const limit = router.limits[index]!;
      if (!limit.admits(now)) return [];
      return [
        {
          id,
          openRequests: router.openRequests[index]!,
          unreadTokens: 0,
          slots: 12,
          isSuspect: false,
          hasCachedPrefix: false,
          isDue: limit.isDue(now),
        },
      ];
    });
    const chosen = chooseServer(
      candidates,
      {prefixTokens: 0, promptTokens: 0, failureDomain: ''},
      this.random,
    );
    if (chosen === undefined) {
      if (isCounted) this.refused++;
      return;
    }
    const index = Number(chosen.id.split('-')[1]);
    router.limits[index]!.take(now);
    router.openRequests[index]!++;
    this.ends.push([now + serviceMilliseconds, router, index]);
    this.servers[index]!.arrivals.push(now);
  }

  private endRequests(): void {
    while ((this.ends[0]?.[0] ?? Infinity) <= this.now) {
      const [, router, index] = this.ends.shift()!;
      router.openRequests[index]!--;
    }
  }

  private outcome(): LimitDayOutcome {
    const {perSecond, limitedServers, durationMilliseconds} = this.day;
    const windowSeconds = windowMilliseconds / 1_000;
    const allowed = 1.5 * perSecond * windowSeconds + 5;
    const seconds = (durationMilliseconds - warmUpMilliseconds) / 1_000;
    const limited = this.servers.filter(({isLimited}) => isLimited);
    const counted = limited.map(({arrivals}) =>
      arrivals.filter(at => at >= warmUpMilliseconds),
    );
    const used = counted.reduce((sum, arrivals) => sum + arrivals.length, 0);
    const largest = Math.max(0, ...counted.map(largestWindow));
    return {
      largestWindowShare: largest / allowed,
      usedShare: used / (perSecond * limitedServers * seconds),
      refusedShare: this.refused / Math.max(1, this.asked),
    };
  }
}

function entryWeight(index: number, busy: number, day: LimitDay): number {
  if (!day.isEntryUneven) return 1;
  return index < busy ? 1 / busy : 1 / Math.max(1, day.routers - busy);
}

/** Largest number of arrivals in a window. */
function largestWindow(arrivals: readonly number[]): number {
  let largest = 0;
  let first = 0;
  for (const [last, at] of arrivals.entries()) {
    while (at - arrivals[first]! >= windowMilliseconds) first++;
    largest = Math.max(largest, last - first + 1);
  }
  return largest;
}
