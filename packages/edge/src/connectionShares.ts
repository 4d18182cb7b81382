/**
 * @fileoverview The connections to backend servers that this router may open:
 * reports what it needs to the leader, and applies the leases that it gets.
 */
import {
  ConnectionShare,
  equalConnections,
  rankedConnections,
  type LeaseRequestTime,
  type RouterPosition,
} from '@dogwoodtrestle/fleet';
import {
  type Clock,
  type Counter,
  type Logger,
  type MetricsRegistry,
} from '@dogwoodtrestle/runtime';
import {
  type BackendServerRecord,
  type ConnectionReport,
  type WatchUpdate,
} from '@dogwoodtrestle/schema';

import {type ServerConnections} from './serverConnections.js';
import {type WatchReport, type WatchTopic} from './watchTopic.js';

/** A backend server and the connections to it. */
export interface ConnectedServer {
  readonly record: BackendServerRecord;
  readonly connections: ServerConnections;
}

/** Options of the shares. */
export interface ConnectionSharesOptions {
  clock: Clock;
  logger: Logger;
  metrics: MetricsRegistry;
  /** Returns the position of this router among all routers. */
  position: () => RouterPosition;
  /** Returns the connections to one server of a service of all routers. */
  total: (service: string) => number;
  servers: {all(): Iterable<ConnectedServer>};
  /** Called when the leader is to hear of a higher demand. */
  onDemand: () => void;
  /** Called when leases have arrived. */
  onLeases?: () => void;
}

/** Connections to one server where its service doesn't state how many it takes. */
const unstatedConnections = 4;

/** Part of the limit from which the leader hears of the demand at once. */
const demandPart = 0.75;

/** Minimum time between two such calls while the demand rises. */
const callMilliseconds = 100;

/** The same while it stays, as another router may have returned its share. */
const repeatMilliseconds = 300;

/** Servers whose ranked parts are remembered. */
const maxRankedParts = 10_000;

/** Rounding errors of a share, as a part of one connection. */
const roundingTolerance = 1e-6;

/** Most services in a report. */
const maxReports = 64;

/** Highest demand that is reported. */
const maxDemand = 1_000_000;

/** The ranked part of a server, and what it was derived from. */
interface RankedPart {
  connections: number;
  total: number;
  routers: readonly string[];
  routerCount: number;
}

/** One service with what was last logged of it. */
interface ServiceShare {
  share: ConnectionShare;
  loggedShare: number;
}

/** Shares of all services. */
export class ConnectionShares implements WatchTopic {
  private readonly services = new Map<string, ServiceShare>();
  private readonly rankedParts = new Map<string, RankedPart>();
  private readonly shortages: Counter;
  private calledAt = -Infinity;

  constructor(private readonly options: ConnectionSharesOptions) {
    this.shortages = options.metrics.counter(
      'dogwoodtrestle_connection_shortages_total',
      'Requests that found all connections of this router in use, by service.',
    );
  }

  /**
   * Returns a function that applies, and returns, the limit of the connections
   * to a server of a service. It holds for this moment only.
   */
  limitsOf(service: string): (server: ConnectedServer) => number {
    const {options} = this;
    const total = options.total(service);
    if (total <= 0) return () => unstatedConnections;
    const position = options.position();
    const equal = equalConnections(total, position);
    const {share} = this.serviceOf(service);
    const leased = share.leasedShare(options.clock.now()) * total;
    return ({record, connections}) => {
      const own = equal ?? this.rankedPart(record.id, total, position);
      const limit = Math.floor(own + leased + roundingTolerance);
      connections.setLimit(limit);
      return limit;
    };
  }

  /**
   * Returns a function that returns the connections to a server which this router
   * may open without a lease, where it may open none to others.
   */
  private rankedOf(service: string): (server: ConnectedServer) => number {
    const total = this.options.total(service);
    const position = this.options.position();
    const isRanked =
      total > 0 && equalConnections(total, position) === undefined;
    if (!isRanked) return () => 0;
    return ({record}) => this.rankedPart(record.id, total, position);
  }

  /** Records that a request takes a connection to a server. */
  recordUse(server: ConnectedServer): void {
    const {connections} = server;
    const {service} = server.record;
    const now = this.options.clock.now();
    const use = connections.busy - this.rankedOf(service)(server);
    this.serviceOf(service).share.recordUse(use, now);
    const limit = this.limitsOf(service)(server);
    if (connections.busy >= demandPart * limit) this.callLeader(service, now);
  }

  /**
   * Records that all servers that could serve a request are at their limit.
   *
   * @param waiting Requests that wait for a connection already.
   */
  recordShortage(service: string, waiting = 0): void {
    const now = this.options.clock.now();
    const servers = this.serversOf(service);
    if (servers.length === 0) return;
    this.shortages.add({service});
    const [limitOf, rankedOf] = [
      this.limitsOf(service),
      this.rankedOf(service),
    ];
    const limits = servers.map(server => limitOf(server) - rankedOf(server));
    const wanted = Math.max(...limits) + 1 + waiting / limits.length;
    this.serviceOf(service).share.recordUse(wanted, now);
    this.callLeader(service, now);
  }

  report(): WatchReport {
    const now = this.options.clock.now();
    const reports: ConnectionReport[] = [];
    for (const [service, {share}] of this.services) {
      const total = this.options.total(service);
      if (total <= 0 || reports.length >= maxReports) continue;
      const report = share.report({total, ...this.useOf(service, total)}, now);
      if (report === undefined) continue;
      const demand = Math.min(report.demand, maxDemand);
      reports.push({service, total, ...report, demand});
    }
    if (reports.length === 0) return {fields: {}};
    const onReceived = () => {
      for (const {service, lease} of reports) {
        this.serviceOf(service).share.confirm(lease);
      }
    };
    return {fields: {connections: reports}, onReceived};
  }

  apply({connections = []}: WatchUpdate, time: LeaseRequestTime): void {
    for (const {service, lease} of connections) {
      const known = this.serviceOf(service);
      known.share.setLease(lease, time);
      this.logShare(service, known);
    }
    // Idle connections above the limits of leases that have ended are closed.
    const limits = new Map(
      [...this.services.keys()].map(name => [name, this.limitsOf(name)]),
    );
    for (const server of this.options.servers.all()) {
      limits.get(server.record.service)?.(server);
    }
    if (connections.length > 0) this.options.onLeases?.();
  }

  private logShare(service: string, known: ServiceShare): void {
    const now = this.options.clock.now();
    const leased = known.share.leasedShare(now);
    const isDrop = leased === 0 && known.loggedShare > 0;
    const isRise = leased > 2 * known.loggedShare;
    if (!isDrop && !isRise) return;
    known.loggedShare = leased;
    const total = this.options.total(service);
    const {equal, busy} = this.useOf(service, total);
    const perServer = Math.floor(equal + leased * total);
    this.options.logger.info(
      {service, total, perServer, equal: Math.floor(equal), busy},
      'connection share changed',
    );
  }

  /** Returns the equal part, and the largest use of a server beyond its ranked part. */
  private useOf(service: string, total: number): {equal: number; busy: number} {
    const servers = this.serversOf(service);
    // What is reported as free must have been closed.
    servers.forEach(this.limitsOf(service));
    const rankedOf = this.rankedOf(service);
    const busy = servers.map(
      server => server.connections.busy - rankedOf(server),
    );
    const equal = equalConnections(total, this.options.position()) ?? 0;
    return {equal, busy: Math.max(0, ...busy)};
  }

  private rankedPart(
    server: string,
    total: number,
    position: RouterPosition,
  ): number {
    const {routers, routerCount} = position;
    const known = this.rankedParts.get(server);
    if (
      known?.total === total &&
      known.routers === routers &&
      known.routerCount === routerCount
    ) {
      return known.connections;
    }
    const connections = rankedConnections(server, total, position);
    if (this.rankedParts.size >= maxRankedParts) this.rankedParts.clear();
    const part = {connections, total, routers, routerCount};
    this.rankedParts.set(server, part);
    return connections;
  }

  private callLeader(service: string, now: number): void {
    if (now - this.calledAt < callMilliseconds) return;
    const total = this.options.total(service);
    if (total <= 0) return;
    const equal = equalConnections(total, this.options.position()) ?? 0;
    const isRising = this.serviceOf(service).share.isRising(equal, now);
    const pause = isRising ? callMilliseconds : repeatMilliseconds;
    if (now - this.calledAt < pause) return;
    this.calledAt = now;
    this.options.onDemand();
  }

  private serversOf(service: string): ConnectedServer[] {
    return [...this.options.servers.all()].filter(
      ({record}) => record.service === service && record.state !== 'left',
    );
  }

  private serviceOf(service: string): ServiceShare {
    let known = this.services.get(service);
    if (known === undefined) {
      const {clock} = this.options;
      const share = new ConnectionShare(() => clock.wallNow());
      known = {share, loggedShare: 0};
      this.services.set(service, known);
    }
    return known;
  }
}
