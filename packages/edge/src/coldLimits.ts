/**
 * @fileoverview Limits of cold backend servers, at one router: asks the leader for
 * leases of them, and tells each server's limit which lease holds.
 *
 * The leases are kept at all times, as a cold period is over before a new lease
 * could arrive.
 */
import {
  ColdLimit,
  coldLimitPolicy,
  type ColdTerms,
  coldGroupOf,
  coldGroupsOf,
  type ColdView,
  defaultColdLimitBounds,
  HeldLease,
  type LeaseRequestTime,
  RequestLimit,
  type RouteTable,
  ServerLimit,
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

import {type PacedServer, type ServerPaces} from './serverPaces.js';
import {type WatchReport, type WatchTopic} from './watchTopic.js';

/** What the limits of one server need. */
export interface ServerLimitOptions {
  clock: Clock;
  /** Returns the limit of a cold server; undefined where there is none. */
  coldTerms?: (service: string, server: string) => ColdTerms | undefined;
  /** Whether a request may reach a process that has started unheard of. */
  isUnproven?: (now: number) => boolean;
}

/** Creates the limits of one incarnation of a server. */
export function createServerLimit(
  {id, service}: BackendServerRecord,
  {clock, coldTerms, isUnproven}: ServerLimitOptions,
): ServerLimit {
  const wallNow = () => clock.wallNow();
  // The leader divides the limit; here only what a router saves counts.
  const policy = coldLimitPolicy(defaultColdLimitBounds);
  const terms = () => coldTerms?.(service, id);
  const options = {terms, policy, wallNow, isUnproven};
  const cold = new ColdLimit(options, clock.now());
  return new ServerLimit(new RequestLimit(wallNow), cold);
}

/** A server whose cold period changes. */
export interface ColdPooledServer extends PacedServer {
  readonly limit: ServerLimit;
}

/** Who is told of a cold period. */
export interface ColdPeriodOptions<T extends ColdPooledServer> {
  clock: Clock;
  paces?: ServerPaces;
  onColdPeriod?: (server: T, previous: ColdView | undefined) => void;
}

/** Applies what is known of a cold period, and reports where it changes that. */
export function changeColdPeriod<T extends ColdPooledServer>(
  server: T,
  {clock, paces, onColdPeriod}: ColdPeriodOptions<T>,
  change: (now: number) => void,
): void {
  const now = clock.now();
  const {period} = server.limit.cold;
  const previous = period.view(now);
  change(now);
  const {cause} = period.view(now) ?? {};
  if (cause === previous?.cause) return;
  if (cause === 'announced') paces?.start(server, 'cold');
  onColdPeriod?.(server, previous);
}

/** Options of the limits. */
export interface ColdLimitsOptions {
  clock: Clock;
  logger: Logger;
  metrics: MetricsRegistry;
  /** Returns the active configuration; undefined before the first one. */
  routes: () => RouteTable | undefined;
  /** Returns the requests per second of this router for a service. */
  demand: (service: string) => number;
}

/** A server of which a cold period begins or ends. */
export interface ColdServer {
  id: string;
  service: string;
  cold: ColdLimit;
}

/** Lease of a group of servers. */
interface GroupLease {
  held: HeldLease;
  /** Since when the router has had leases without a gap. */
  since: number;
}

/** Leases of the limits of all services. */
export class ColdLimits implements WatchTopic {
  private readonly leases = new Map<string, GroupLease>();
  private readonly periods: Counter;

  constructor(private readonly options: ColdLimitsOptions) {
    this.periods = options.metrics.counter(
      'dogwoodtrestle_cold_periods_total',
      'Cold periods of backend servers with a limit, by service and cause.',
    );
  }

  /** Returns the limit of a cold server; undefined where there is none. */
  terms(service: string, server: string): ColdTerms | undefined {
    const perSecond = this.options
      .routes()
      ?.service(service)?.coldRequestsPerSecond;
    if (perSecond === undefined) return undefined;
    const {held, since} = this.leases.get(coldGroupOf(service, server)) ?? {};
    if (held?.newest === undefined || since === undefined) return {perSecond};
    const share = held.share(this.options.clock.now());
    return {perSecond, lease: {...held.newest, share, since}};
  }

  /** Asks for leases of all services whose cold servers have a limit. */
  report(): WatchReport {
    const {routes} = this.options;
    const services = (routes()?.configuration.services ?? []).filter(
      ({coldRequestsPerSecond}) => coldRequestsPerSecond !== undefined,
    );
    if (services.length === 0) return {fields: {}};
    const coldLimits = services.flatMap(({name}) =>
      coldGroupsOf(name).map(group => this.reportOf(name, group)),
    );
    return {fields: {coldLimits}};
  }

  /** Applies the leases of a leader. */
  apply({coldLimits = []}: WatchUpdate, time: LeaseRequestTime): void {
    for (const notice of coldLimits) this.applyNotice(notice, time);
  }

  /** Logs a cold period that has begun or ended. */
  reportPeriod(
    {id: server, service, cold}: ColdServer,
    previous: ColdView | undefined,
  ): void {
    const {clock, logger, routes} = this.options;
    const {coldRequestsPerSecond} = routes()?.service(service) ?? {};
    if (coldRequestsPerSecond === undefined) return;
    const period = cold.period.view(clock.now());
    if (period === undefined) {
      logger.info({server, service, was: previous}, 'backend server is warm');
      return;
    }
    this.periods.add({service, cause: period.cause});
    logger.info(
      {server, service, perSecond: coldRequestsPerSecond, ...period},
      'backend server is cold',
    );
  }

  private reportOf(service: string, group: string): LimitReport {
    const {clock, demand} = this.options;
    const held = this.leases.get(group)?.held;
    return {
      server: group,
      service,
      startedAt: 0,
      demand: demand(service),
      share: held?.share(clock.now()) ?? 0,
      lease: held?.newest?.id,
    };
  }

  private applyNotice({server, lease}: LimitNotice, time: LeaseRequestTime) {
    const {clock} = this.options;
    const now = clock.now();
    let known = this.leases.get(server);
    if (known === undefined) {
      known = {held: new HeldLease(() => clock.wallNow()), since: now};
      this.leases.set(server, known);
    }
    const isHeld = known.held.share(now) > 0;
    if (known.held.replace(lease, time) && !isHeld) known.since = now;
  }
}
