/**
 * @fileoverview Limits that backend servers state, at one router: records what
 * responses and the leader say of them, and reports them to the leader.
 */
import {
  basePart,
  DecayingRate,
  type LeaseRequestTime,
  type LimitChange,
  type RouterPosition,
  type ServerLimit,
  type ServerLimitView,
  type StatementContext,
} from '@dogwoodtrestle/fleet';
import {
  type Clock,
  type Counter,
  type Logger,
  type MetricsRegistry,
} from '@dogwoodtrestle/runtime';
import {
  type BackendServerRecord,
  type LimitNotice,
  type LimitReport,
  type WatchUpdate,
} from '@dogwoodtrestle/schema';

import {type WatchReport, type WatchTopic} from './watchTopic.js';
import {type StatedLimit} from './wireCodec.js';

/**
 * What a limit decided for a request: it was `sent` within the limit, sent there
 * as a request that was `due`, the server was `skipped`, or nothing was left and
 * the request was `refused`.
 */
export type LimitDecisionKind = 'sent' | 'due' | 'skipped' | 'refused';

/** A decision and the limit that it follows from, for the logs. */
export interface LimitDecision extends ServerLimitView {
  decision: LimitDecisionKind;
  server: string;
}

/** A backend server and its limit. */
export interface LimitedServer {
  readonly record: BackendServerRecord;
  readonly limit: ServerLimit;
}

/** The backend servers that this router knows. */
export interface LimitedServers {
  find(id: string): LimitedServer | undefined;
  all(): Iterable<LimitedServer>;
}

/** Options of the limits. */
export interface ServerLimitsOptions {
  logger: Logger;
  metrics: MetricsRegistry;
  clock: Clock;
  /** Returns the position of this router among all routers. */
  position: () => RouterPosition;
  /** Whether a leader has replied recently. */
  isConnected: () => boolean;
  servers: LimitedServers;
}

/** Minimum interval between log lines on one server's unreadable values. */
const unreadableLogMilliseconds = 5_000;

/** Servers whose last such line is remembered. */
const maxRememberedServers = 200;

/** Time constant of the demand that is reported. */
const demandMilliseconds = 3_000;

/** Time for which the end of a limit is reported. */
const endedMilliseconds = 30_000;

/** Highest demand that is reported, in requests per second. */
const maxDemand = 1_000_000;

/** Limits of all servers of a router. */
export class ServerLimits implements WatchTopic {
  private readonly changes: Counter;
  private readonly decisions: Counter;
  private readonly unreadableLoggedAt = new Map<string, number>();
  private readonly demands = new Map<string, DecayingRate>();

  constructor(private readonly options: ServerLimitsOptions) {
    const {metrics} = options;
    this.changes = metrics.counter(
      'dogwoodtrestle_server_limit_changes_total',
      'Changes of the limits that backend servers state, by service.',
    );
    this.decisions = metrics.counter(
      'dogwoodtrestle_limited_requests_total',
      'Decisions on requests by the limit of a backend server, by service.',
    );
  }

  /** Returns what the leader needs to know of the limits. */
  report(): WatchReport {
    return {fields: {limits: this.reports()}};
  }

  /** Applies the leader's notices to the servers that they name. */
  apply({limits = []}: WatchUpdate, time: LeaseRequestTime): void {
    this.applyNotices(limits, time);
    this.refresh();
  }

  /** Records that a request looks for a server of a service. */
  recordDemand(service: string, now: number): void {
    let demand = this.demands.get(service);
    if (demand === undefined) {
      demand = new DecayingRate(demandMilliseconds);
      this.demands.set(service, demand);
    }
    demand.add(1, now);
  }

  /** Records what the response to a request states. */
  recordResponse(
    server: LimitedServer,
    request: string,
    stated: StatedLimit | undefined,
    context: StatementContext,
  ): void {
    const {known} = server.limit.stated;
    const previous = known.perSecond;
    const change = known.recordResponse(stated, context);
    const text = stated?.text;
    this.reportChange(server, change, {request, previous, text});
  }

  private applyNotices(
    notices: readonly LimitNotice[],
    time: LeaseRequestTime,
  ): void {
    const {clock, servers} = this.options;
    const now = clock.now();
    for (const {server: id, startedAt, observation, lease} of notices) {
      const server = servers.find(id);
      if (server?.record.startedAt !== startedAt) continue;
      const {perSecond, ageMilliseconds} = observation;
      const {known} = server.limit.stated;
      const previous = known.perSecond;
      const change = known.recordReport(perSecond, now - ageMilliseconds);
      server.limit.stated.setLease(lease, time);
      this.reportChange(server, change, {previous});
    }
  }

  /** Updates the parts without a lease, and drops limits nobody states. */
  private refresh(): void {
    const {clock, servers} = this.options;
    const now = clock.now();
    for (const server of servers.all()) {
      const {known} = server.limit.stated;
      if (known.perSecond === undefined) continue;
      const previous = known.perSecond;
      // Without a leader, only few routers still hear of the limit.
      const change = this.options.isConnected() ? known.expire(now) : undefined;
      this.reportChange(server, change, {previous});
      this.setBasePart(server);
    }
  }

  private reports(): LimitReport[] {
    const {clock, servers} = this.options;
    const now = clock.now();
    const reports: LimitReport[] = [];
    for (const {limit: limits, record} of servers.all()) {
      const limit = limits.stated;
      const {observation} = limit.known;
      if (observation === undefined) continue;
      const {perSecond, observedAt, source} = observation;
      const age = Math.max(0, Math.ceil(now - observedAt));
      if (perSecond === undefined && age > endedMilliseconds) continue;
      reports.push({
        server: record.id,
        service: record.service,
        startedAt: record.startedAt,
        demand: this.demand(record.service, now),
        share: limit.leasedShare(now),
        lease: limit.leaseId,
        observation:
          source === 'response' ? {perSecond, ageMilliseconds: age} : undefined,
      });
    }
    return reports;
  }

  /** Takes a request from the limit of a server at which an attempt begins. */
  recordAttempt(
    server: LimitedServer,
    attempt: object,
    decisions: LimitDecision[],
    now: number,
  ): void {
    const decision = server.limit.isDue(now) ? 'due' : 'sent';
    this.recordDecision(server, decision, decisions);
    server.limit.take(attempt, now);
  }

  /** Counts a decision and adds it to those of its request. */
  recordDecision(
    server: LimitedServer,
    decision: LimitDecisionKind,
    decisions: LimitDecision[],
  ): void {
    const {limit, record} = server;
    const view = limit.view(this.options.clock.now());
    if (view === undefined) return;
    const {service} = record;
    const isCold = String(view.cold !== undefined);
    this.decisions.add({service, decision, isCold});
    decisions.push({decision, server: record.id, ...view});
  }

  /** Returns the requests per second of this router for a service. */
  demand(service: string, now: number): number {
    const demand = this.demands.get(service)?.value(now) ?? 0;
    return Math.min(demand, maxDemand);
  }

  private setBasePart({record, limit}: LimitedServer): void {
    const {perSecond} = limit.stated.known;
    if (perSecond === undefined) return;
    const position = this.options.position();
    limit.stated.setBasePart(basePart(record.id, perSecond, position));
  }

  private reportChange(
    server: LimitedServer,
    change: LimitChange | undefined,
    details: {request?: string; previous?: number; text?: string},
  ): void {
    if (change === undefined) return;
    const {id, service} = server.record;
    this.changes.add({service, change});
    if (change === 'unreadable' && !this.mayLogUnreadable(id)) return;
    this.setBasePart(server);
    const {perSecond} = server.limit.stated.known;
    this.options.logger.info(
      {server: id, service, change, perSecond, ...details},
      'backend server limit changed',
    );
  }

  private mayLogUnreadable(server: string): boolean {
    const now = this.options.clock.now();
    const last = this.unreadableLoggedAt.get(server) ?? -Infinity;
    if (now - last < unreadableLogMilliseconds) return false;
    if (this.unreadableLoggedAt.size >= maxRememberedServers) {
      this.unreadableLoggedAt.clear();
    }
    this.unreadableLoggedAt.set(server, now);
    return true;
  }
}
