/**
 * @fileoverview Routers that spend prepaid tokens over a day with partitions
 * and a loss of power, in virtual time and with the fleet's own bookkeeping.
 *
 * Only messages are modelled: a report takes no time, and is lost in a
 * partition; loans pass between routers at any time.
 */
import {
  emptyPrepaidState,
  GrantPlanner,
  type GrantSizingOptions,
  HeldGrants,
  recordUsage,
  type Reservation,
  TokenHolders,
} from '@dogwoodtrestle/fleet';

import {exponential, seededRandom, weightedIndex} from '../util/random.js';

/** A span of time in milliseconds. */
export interface Span {
  from: number;
  to: number;
}

/** What is played. */
export interface GrantDay {
  seed: number;
  routers: number;
  customers: number;
  requestsPerSecond: number;
  durationMilliseconds: number;
  /** Spans in which no router reaches the control processes. */
  partitions: readonly Span[];
  /** Time at which all routers lose their power and what they hold. */
  powerLossAt?: number;
  /** The first customer sends several times its usual in this span. */
  surge?: Span & {factor: number};
  /** Prepaid totals, as a multiple of what the customers use. */
  prepaidFactor: number;
}

/** A way to size grants. */
export interface GrantPolicy {
  sizing: GrantSizingOptions;
  /** Whether holders lend to other routers. */
  lends: boolean;
}

/** What came of a day. */
export interface GrantDayOutcome {
  asked: number;
  /** Refused though the customer had used less than its total. */
  falselyRefused: number;
  /** Part of all totals that routers held unspent as they lost their power. */
  heldShare: number;
  /** Part of all totals that never came back after that. */
  forfeitedShare: number;
  /** Requests after the loss of power. */
  askedAfterLoss: number;
  /** Those of them that were falsely refused. */
  falselyRefusedAfterLoss: number;
  /** Tokens used beyond a total, over all customers. */
  overspent: number;
  loans: number;
  /** Reports that the leader had to record for a request at once. */
  urgentReports: number;
}

interface Router {
  id: string;
  instance: string;
  grants: HeldGrants;
  startedAt: number;
}

interface OpenRequest {
  router: Router;
  customer: string;
  reservation: Reservation;
  used: number;
  endsAt: number;
}

const tickMilliseconds = 20;

/** Time without power, as on the users' days. */
const downMilliseconds = 1_000;

const reportMilliseconds = 400;

/** Median and spread of the tokens of a request on the users' sheets. */
const medianTokens = 2_000;
const tokenSpread = 1.3;
const mostTokens = 55_000;

/** Part of what a request reserves that it uses. */
const usedShare = 0.95;
const requestMilliseconds = 1_200;

/** Plays one day. */
export function playGrantDay(
  day: GrantDay,
  policy: GrantPolicy,
): GrantDayOutcome {
  return new GrantPlay(day, policy).run();
}

class GrantPlay {
  private readonly random: () => number;
  private readonly book = emptyPrepaidState();
  private readonly customers: string[];
  private readonly weights: number[];
  private readonly routerWeights: number[];
  private readonly prepaid = new Map<string, number>();
  private readonly used = new Map<string, number>();
  private readonly planner: GrantPlanner;
  private readonly holders = new TokenHolders();
  private readonly instances: readonly string[];
  private routers: Router[];
  private open: OpenRequest[] = [];
  private now = 0;
  private lives = 0;
  /** Losses of power; steady clocks start anew after each. */
  private boots = 0;
  private downUntil?: number;
  private readonly outcome: GrantDayOutcome = {
    asked: 0,
    falselyRefused: 0,
    heldShare: 0,
    forfeitedShare: 0,
    askedAfterLoss: 0,
    falselyRefusedAfterLoss: 0,
    overspent: 0,
    loans: 0,
    urgentReports: 0,
  };

  constructor(
    private readonly day: GrantDay,
    private readonly policy: GrantPolicy,
  ) {
    this.random = seededRandom(day.seed);
    this.customers = names('customer', day.customers);
    this.weights = this.customers.map((_, index) => 1 / (index + 1));
    this.routers = names('router', day.routers).map(name => this.start(name));
    // Callers are hashed unevenly over routers.
    this.routerWeights = this.routers.map(() => 0.4 + this.random());
    this.fund();
    const state = {
      prepaid: this.book,
      prepaidOf: (customer: string) => this.prepaid.get(customer) ?? 0,
    };
    this.instances = this.routers.map(({instance}) => instance);
    this.planner = new GrantPlanner(state, () => this.instances, {
      sizing: policy.sizing,
    });
  }

  run(): GrantDayOutcome {
    const {durationMilliseconds, requestsPerSecond, powerLossAt} = this.day;
    let nextArrival = 0;
    let nextReport = 0;
    for (; this.now < durationMilliseconds; this.now += tickMilliseconds) {
      if (powerLossAt !== undefined && isTick(this.now, powerLossAt)) {
        this.losePower();
      }
      if (this.downUntil !== undefined && this.now >= this.downUntil) {
        this.regainPower();
      }
      this.endRequests();
      while (nextArrival <= this.now) {
        this.receive();
        nextArrival += exponential(requestsPerSecond, this.random) * 1_000;
      }
      if (this.now < nextReport || this.downUntil !== undefined) continue;
      nextReport = this.now + reportMilliseconds;
      for (const router of this.routers) this.report(router, true);
    }
    for (const [customer, used] of this.used) {
      const excess = used - (this.prepaid.get(customer) ?? 0);
      this.outcome.overspent += Math.max(0, excess);
    }
    return this.outcome;
  }

  /** Totals in proportion to what each customer will use on average. */
  private fund(): void {
    const {durationMilliseconds, requestsPerSecond, prepaidFactor} = this.day;
    const mean = medianTokens * Math.exp(tokenSpread ** 2 / 2) * usedShare;
    const all = ((durationMilliseconds / 1_000) * requestsPerSecond * mean) | 0;
    const total = this.weights.reduce((sum, weight) => sum + weight, 0);
    this.customers.forEach((customer, index) => {
      const share = (this.weights[index] ?? 0) / total;
      const surge = index === 0 ? this.surgeFactor() : 1;
      const prepaid = Math.floor(all * share * prepaidFactor * surge);
      this.prepaid.set(customer, prepaid);
    });
  }

  /** How much more the first customer uses over the day for its surge. */
  private surgeFactor(): number {
    const {surge, durationMilliseconds} = this.day;
    if (surge === undefined) return 1;
    const part = (surge.to - surge.from) / durationMilliseconds;
    return 1 + part * (surge.factor - 1);
  }

  private start(instance: string): Router {
    return {
      id: `${instance}/${this.lives++}`,
      instance,
      grants: new HeldGrants(),
      startedAt: Math.floor(this.now),
    };
  }

  private receive(): void {
    if (this.downUntil !== undefined) return;
    const {surge} = this.day;
    const isSurging = surge !== undefined && isWithin(this.now, surge);
    const weights = this.weights.map((weight, index) =>
      index === 0 && isSurging ? weight * surge.factor : weight,
    );
    const customer = this.customers[weightedIndex(weights, this.random)] ?? '';
    const router = this.routers[weightedIndex(this.routerWeights, this.random)];
    if (router === undefined) return;
    const tokens = drawTokens(this.random);
    const isAfterLoss = this.now >= (this.day.powerLossAt ?? Infinity);
    this.outcome.asked++;
    if (isAfterLoss) this.outcome.askedAfterLoss++;
    const reservation = this.cover(router, customer, tokens);
    const used = Math.ceil(tokens * usedShare);
    if (reservation === undefined) {
      const left = (this.prepaid.get(customer) ?? 0) - this.usedOf(customer);
      // As the users count: what doesn't fit into 97% isn't owed.
      if (left > 0.03 * (this.prepaid.get(customer) ?? 0) + tokens) {
        this.outcome.falselyRefused++;
        if (isAfterLoss) this.outcome.falselyRefusedAfterLoss++;
      }
      return;
    }
    this.used.set(customer, this.usedOf(customer) + used);
    const endsAt = this.now + requestMilliseconds;
    this.open.push({router, customer, reservation, used, endsAt});
  }

  private cover(
    router: Router,
    customer: string,
    tokens: number,
  ): Reservation | undefined {
    const {grants} = router;
    const own = grants.reserve(customer, tokens, this.now);
    if (own !== undefined) return own;
    if (this.policy.lends && this.borrow(router, customer, tokens)) {
      return grants.reserve(customer, tokens, this.now, true);
    }
    if (this.isPartitioned) return undefined;
    this.outcome.urgentReports++;
    grants.want(customer, tokens);
    this.report(router, false);
    grants.want(customer, -tokens);
    return grants.reserve(customer, tokens, this.now, true);
  }

  private borrow(router: Router, customer: string, tokens: number): boolean {
    const wished = router.grants.loanSize(customer, tokens, this.now);
    for (const holder of this.holders.of(customer, this.instances)) {
      const lender = this.routers[this.instances.indexOf(holder)];
      if (lender === undefined || lender === router) continue;
      const lent = lender.grants.lend(customer, tokens, wished, this.now);
      if (lent === 0) continue;
      this.outcome.loans++;
      router.grants.borrow(customer, lent);
      return true;
    }
    return false;
  }

  private report(router: Router, isComplete: boolean): void {
    const {usages, reportedAt} = router.grants.report(isComplete, this.now);
    if (this.isPartitioned) return;
    const {id, instance, startedAt} = router;
    const clock = `boot-${this.boots}`;
    this.planner.recordReport(id, usages, this.now);
    const plans = usages.map(usage =>
      this.planner.plan({router: id, address: instance}, usage, false),
    );
    const wall = Math.floor(this.now);
    const life = {instance, clock, startedAt, wallStartedAt: startedAt};
    const {outcomes} = recordUsage(
      this.book,
      {
        kind: 'recordUsage',
        router: id,
        life,
        reportedAt,
        reportedWallAt: wall,
        leaderTime: {clock, steady: wall, wall},
        recordedAt: {clock, steady: wall, wall},
        entries: plans.map(({entry}) => entry),
      },
      customer => this.prepaid.get(customer) ?? 0,
      this.now,
    );
    router.grants.confirm(reportedAt);
    outcomes.forEach(({workspace, granted}, index) => {
      const target = plans[index]?.target ?? 0;
      const remaining = this.planner.remaining(workspace);
      router.grants.accept({workspace, granted, target, remaining}, this.now);
    });
  }

  private losePower(): void {
    const lost = this.open;
    this.open = [];
    for (const {router, reservation, used} of lost) {
      router.grants.settle(reservation, used);
    }
    this.outcome.heldShare = this.unusedShare();
    this.boots++;
    this.downUntil = this.now + downMilliseconds;
  }

  /** All routers start again, with steady clocks that start anew. */
  private regainPower(): void {
    this.downUntil = undefined;
    this.routers = this.routers.map(({instance}) => this.start(instance));
    for (const router of this.routers) this.report(router, true);
    // What came back was granted to the new lives at once.
    this.outcome.forfeitedShare = this.unusedShare() - this.liveShare();
  }

  /** Part of all totals that is committed and not used. */
  private unusedShare(): number {
    const committed = sum(
      Object.values(this.book.accounts).map(({committed}) => committed),
    );
    const used = sum(this.used.values());
    return (committed - used) / sum(this.prepaid.values());
  }

  /** Part of all totals that the routers that run were granted. */
  private liveShare(): number {
    const live = new Set(this.routers.map(({id}) => id));
    let granted = 0;
    for (const {routers} of Object.values(this.book.accounts)) {
      for (const [router, totals] of Object.entries(routers)) {
        if (live.has(router)) granted += totals.granted - totals.returned;
      }
    }
    return granted / sum(this.prepaid.values());
  }

  private endRequests(): void {
    const ended = this.open.filter(({endsAt}) => endsAt <= this.now);
    this.open = this.open.filter(({endsAt}) => endsAt > this.now);
    for (const {router, reservation, used} of ended) {
      router.grants.settle(reservation, used);
    }
  }

  private get isPartitioned(): boolean {
    return this.day.partitions.some(span => isWithin(this.now, span));
  }

  private usedOf(customer: string): number {
    return this.used.get(customer) ?? 0;
  }
}

function drawTokens(random: () => number): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const tokens = medianTokens * Math.exp(tokenSpread * normal);
  return Math.ceil(Math.min(mostTokens, tokens));
}

function isWithin(now: number, {from, to}: Span): boolean {
  return now >= from && now < to;
}

function isTick(now: number, at: number): boolean {
  return now <= at && at < now + tickMilliseconds;
}

function names(kind: string, count: number): string[] {
  return Array.from({length: count}, (_, index) => `${kind}-${index}`);
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
