/**
 * @fileoverview Leases parts of the servers' limits to routers, while this
 * process leads, and passes on what the routers report of the limits.
 *
 * What a router was leased counts until it confirms a smaller lease or the lease
 * ends, so messages may be lost, repeated and overtake each other. A leader that
 * has just been elected doesn't know the leases of its predecessor: until these
 * have ended it renews what routers report, and leases nothing else.
 */
import {
  type LimitLease,
  type LimitNotice,
  type LimitReport,
} from '@dogwoodtrestle/schema';

import {KnownLimit} from './knownLimit.js';
import {divideByNeed, type LeaseCandidate, LeaseTurns} from './leaseTurns.js';
import {
  defaultLimitPolicy,
  leasedPartOf,
  type LimitPolicy,
  maxLessees,
  minLeasedShare,
} from './limitPolicy.js';
import {rendezvousWeight} from './rendezvous.js';

/** What a router last reported, and what it may use of the limit. */
interface Lessee {
  demand: number;
  reportedAt: number;
  /** Part of the limit that the router may use at most. */
  share: number;
  expiresAt: number;
  /** Newest lease that was sent to the router. */
  leaseId?: string;
  /** Whether the router has the newest lease, so that no other is on its way. */
  isConfirmed: boolean;
}

/** One incarnation of a server with a limit. */
interface LimitedServer {
  id: string;
  service: string;
  startedAt: number;
  limit: KnownLimit;
  lessees: Map<string, Lessee>;
  /** Sum of the lessees' shares. */
  sharesInUse: number;
  /** Sum of what routers first reported to this leader. */
  sharesReported: number;
  /** Planned share by router. */
  plan: Map<string, number>;
  /** Missing where leases don't go round. */
  turns?: LeaseTurns;
}

/** A term in which this process leads. */
export interface LeaderTerm {
  term: number;
  /** Whether no other process can have led before. */
  isFirst: boolean;
}

/** Time after which a router's demand no longer counts. */
const demandMilliseconds = 3_000;

/** Time for which routers are told that a limit has ended. */
const endedMilliseconds = 30_000;

/** Factor of the demand of routers that have a lease, against frequent changes. */
const lesseeWeight = 2;

/** Requests that a router's leases should allow, as a factor of its demand. */
const demandHeadroom = 1.25;

/** Least need of a router for each server, as a part of its demand. */
const minNeedPart = 0.1;

/** Least part by which a lease grows for which a router's reply isn't delayed. */
const minGrowth = 0.1;

/** Error of sums of shares. */
const shareTolerance = 1e-6;

/** Longest time for which a former leader may have gone on, and delays. */
const formerLeaderMilliseconds = 1_000;

/** Shares of all limits. Times are monotonic, in milliseconds. */
export class LimitShares {
  private readonly servers = new Map<string, LimitedServer>();
  private leasesIssued = 0;
  private plannedAt = -Infinity;
  private term?: number;
  private leadingSince = -Infinity;

  /**
   * @param epoch Prefix of lease ids; unique for each run of a process.
   * @param releaseMilliseconds Returns the time after the end of a lease for which
   *     what it allowed of a service may stay in use.
   */
  constructor(
    private readonly epoch: string,
    private readonly policy: LimitPolicy = defaultLimitPolicy,
    private readonly releaseMilliseconds: (service: string) => number = () =>
      policy.releaseMilliseconds,
  ) {}

  /** Enters a term as leader. Leases of other leaders are unknown. */
  enterTerm({term, isFirst}: LeaderTerm, now: number): void {
    if (term === this.term) return;
    this.term = term;
    this.leadingSince = isFirst ? -Infinity : now;
    for (const server of this.servers.values()) {
      server.lessees.clear();
      server.sharesInUse = 0;
      server.sharesReported = 0;
    }
  }

  /** Records a router's reports; returns whether a limit has changed. */
  record(
    router: string,
    reports: readonly LimitReport[],
    now: number,
  ): boolean {
    let isChanged = false;
    for (const report of reports) {
      const server = this.serverOf(report);
      if (server === undefined) continue;
      const {observation} = report;
      if (observation !== undefined) {
        const {perSecond, ageMilliseconds} = observation;
        const observedAt = now - ageMilliseconds;
        const change = server.limit.recordReport(perSecond, observedAt);
        isChanged ||= change !== undefined;
      }
      this.recordLessee(server, router, report, now);
    }
    return isChanged;
  }

  /**
   * Returns all limits, with a new lease for the router of each.
   *
   * @param only Ids of the servers whose limits are returned; missing for all.
   */
  notices(
    router: string,
    now: number,
    only?: ReadonlySet<string>,
  ): LimitNotice[] {
    this.expire(now);
    return [...this.servers.values()].flatMap(server => {
      const {id, startedAt, limit} = server;
      if (only?.has(id) === false) return [];
      const {observation} = limit;
      if (observation === undefined) return [];
      const {perSecond, observedAt} = observation;
      const ageMilliseconds = Math.max(0, Math.ceil(now - observedAt));
      const lease = this.renew(server, router, now);
      const notice = {server: id, startedAt, lease};
      return [{...notice, observation: {perSecond, ageMilliseconds}}];
    });
  }

  /**
   * Whether a report of a router may be answered with a larger lease at once:
   * by a tenth of what it has, and by one of what the limit counts.
   */
  hasGrowth(router: string, now: number, only?: ReadonlySet<string>): boolean {
    this.expire(now);
    return [...this.servers.values()].some(server => {
      if (only?.has(server.id) === false) return false;
      const lessee = server.lessees.get(router);
      if (lessee === undefined) return false;
      const {perSecond = 0} = server.limit;
      const leastGrowth = Math.max(minGrowth * lessee.share, 1 / perSecond);
      // Without its newest lease the router must get one that it can confirm.
      const confirmed = {...lessee, isConfirmed: true};
      const share = this.nextShare(server, router, confirmed, now);
      return share - lessee.share >= leastGrowth - shareTolerance;
    });
  }

  private renew(
    server: LimitedServer,
    router: string,
    now: number,
  ): LimitLease {
    const {leaseMilliseconds} = this.policy;
    const releaseMilliseconds = this.releaseMilliseconds(server.service);
    const id = `${this.epoch}:${++this.leasesIssued}`;
    const lessee = server.lessees.get(router);
    const none = {id, share: 0, milliseconds: leaseMilliseconds};
    if (lessee === undefined) return none;
    lessee.leaseId = id;
    const share = this.nextShare(server, router, lessee, now);
    if (share === 0) return none;
    setShare(server, lessee, Math.max(lessee.share, share));
    if (lessee.isConfirmed) {
      lessee.expiresAt = now + leaseMilliseconds + releaseMilliseconds;
    }
    const milliseconds = Math.min(
      leaseMilliseconds,
      lessee.expiresAt - releaseMilliseconds - now,
    );
    return milliseconds > 0 ? {id, share, milliseconds} : none;
  }

  private nextShare(
    server: LimitedServer,
    router: string,
    {isConfirmed, share}: Lessee,
    now: number,
  ): number {
    if (server.limit.perSecond === undefined) return 0;
    const isNew = this.isNewLeader(server.service, now);
    const {releaseMilliseconds} = this.policy;
    const leasedPart = leasedPartOf(server.limit.perSecond, this.policy);
    if (!isConfirmed) {
      // It has one of the leases that were sent, none of them above its share.
      const keeps = releaseMilliseconds > 0;
      return keeps
        ? Math.min(share, this.plannedShare(server, router, now))
        : 0;
    }
    // What ends soon is waited for rather than divided anew.
    const {sharesInUse, sharesReported} = server;
    if (isNew && releaseMilliseconds === 0) {
      // A late report may name a share that the former leader gave to another.
      return sharesInUse > leasedPart + shareTolerance ? 0 : share;
    }
    const total = isNew ? Math.min(leasedPart, sharesReported) : leasedPart;
    const free = total - (sharesInUse - share);
    const planned = this.plannedShare(server, router, now);
    const next = Math.max(0, Math.min(planned, free));
    const least = minLeasedShare(server.limit.perSecond, this.policy);
    return next < least - shareTolerance ? 0 : next;
  }

  private isNewLeader(service: string, now: number): boolean {
    const inUse =
      this.policy.leaseMilliseconds + this.releaseMilliseconds(service);
    const knownAfter = inUse + formerLeaderMilliseconds;
    return now - this.leadingSince < knownAfter;
  }

  private plannedShare(
    {plan}: LimitedServer,
    router: string,
    now: number,
  ): number {
    if (now - this.plannedAt >= this.policy.planMilliseconds) {
      this.plannedAt = now;
      this.planAll(now);
    }
    return plan.get(router) ?? 0;
  }

  /** Plans the servers one by one; a lease of one lowers the need of others. */
  private planAll(now: number): void {
    const leased = new Map<string, Map<string, number>>();
    for (const server of this.servers.values()) {
      const rates = leased.get(server.service) ?? new Map<string, number>();
      leased.set(server.service, rates);
      this.planServer(server, rates, now);
    }
  }

  /**
   * Plans the leases of a server.
   *
   * @param rates Requests per second that are planned for each router.
   */
  private planServer(
    server: LimitedServer,
    rates: Map<string, number>,
    now: number,
  ): void {
    const {limit, plan} = server;
    plan.clear();
    const {perSecond = 0} = limit;
    const chosen = this.chooseLessees(server, rates, now);
    if (chosen.length === 0) return;
    const {isBoundByNeed, isEven, turnMilliseconds} = this.policy;
    const leasedPart = leasedPartOf(perSecond, this.policy);
    const least =
      turnMilliseconds === undefined
        ? 0
        : minLeasedShare(perSecond, this.policy);
    const parts = divideByNeed(leasedPart, chosen, least);
    for (const candidate of chosen) {
      const {router, need} = candidate;
      const part =
        isEven === true
          ? leasedPart / chosen.length
          : (parts.get(candidate) ?? 0);
      const bound = Math.max(least, need / perSecond);
      const share = isBoundByNeed ? Math.min(part, bound) : part;
      plan.set(router, share);
      rates.set(router, (rates.get(router) ?? 0) + share * perSecond);
    }
  }

  /**
   * Chooses the lessees in turns, or by rendezvous hashing, weighted by need, so
   * that the limits of several servers go to different routers.
   */
  private chooseLessees(
    {id, limit, lessees, turns}: LimitedServer,
    rates: ReadonlyMap<string, number>,
    now: number,
  ): LeaseCandidate[] {
    const {perSecond = 0} = limit;
    const count = maxLessees(perSecond, this.policy);
    const candidates = [...lessees]
      .filter(
        ([, {demand, reportedAt}]) =>
          demand > 0 && now - reportedAt <= demandMilliseconds,
      )
      .map(([router, {demand, share}]) => {
        const unmet = demandHeadroom * demand - (rates.get(router) ?? 0);
        const need = Math.max(minNeedPart * demand, unmet);
        return {router, need, hasShare: share > 0};
      });
    if (turns !== undefined) return turns.choose(candidates, count, now);
    return candidates
      .map(candidate => {
        const {router, need, hasShare} = candidate;
        const weight = hasShare ? need * lesseeWeight : need;
        return {candidate, rank: rankOf(id, router, weight)};
      })
      .sort((a, b) => a.rank - b.rank)
      .slice(0, count)
      .map(({candidate}) => candidate);
  }

  private recordLessee(
    server: LimitedServer,
    router: string,
    {demand, share, lease}: LimitReport,
    now: number,
  ): void {
    const known = server.lessees.get(router);
    if (known === undefined) {
      // The lease, if there is one, is of a former leader.
      const expiresAt =
        now +
        this.policy.leaseMilliseconds +
        this.releaseMilliseconds(server.service);
      const isConfirmed = true;
      const lessee = {
        demand,
        reportedAt: now,
        share: 0,
        expiresAt,
        isConfirmed,
      };
      server.lessees.set(router, lessee);
      setShare(server, lessee, share);
      server.sharesReported += share;
      return;
    }
    known.demand = demand;
    known.reportedAt = now;
    known.isConfirmed = lease === known.leaseId;
    if (known.isConfirmed) setShare(server, known, share);
  }

  private serverOf(report: LimitReport): LimitedServer | undefined {
    const {server: id, service, startedAt, observation} = report;
    const key = `${id}@${startedAt}`;
    let server = this.servers.get(key);
    if (server === undefined && observation?.perSecond !== undefined) {
      server = {
        id,
        service,
        startedAt,
        limit: new KnownLimit(),
        lessees: new Map(),
        sharesInUse: 0,
        sharesReported: 0,
        plan: new Map(),
        turns:
          this.policy.turnMilliseconds === undefined
            ? undefined
            : new LeaseTurns(this.policy.turnMilliseconds),
      };
      this.servers.set(key, server);
    }
    return server;
  }

  /** Drops leases that have ended and limits that nobody states any more. */
  private expire(now: number): void {
    for (const [key, server] of this.servers) {
      const {limit, lessees} = server;
      limit.expire(now);
      for (const [router, lessee] of lessees) {
        if (now < lessee.expiresAt) continue;
        setShare(server, lessee, 0);
        const silence = now - lessee.reportedAt;
        if (silence > demandMilliseconds) lessees.delete(router);
      }
      const age = now - (limit.observation?.observedAt ?? now);
      const isEnded = limit.perSecond === undefined && age > endedMilliseconds;
      // Shares that routers may still use must count if the limit is named again.
      if (isEnded && lessees.size === 0) this.servers.delete(key);
    }
  }
}

function setShare(server: LimitedServer, lessee: Lessee, share: number): void {
  server.sharesInUse += share - lessee.share;
  lessee.share = share;
}

/** Rank of a router in weighted rendezvous hashing; the lowest is first. */
function rankOf(server: string, router: string, weight: number): number {
  const uniform = (rendezvousWeight(server, router) + 0.5) / 2 ** 32;
  return -Math.log(uniform) / weight;
}
