/**
 * @fileoverview Backend servers as known to this router: their records,
 * connections and recent results.
 */
import {
  defaultServerDirectoryOptions,
  ProcessProof,
  ResponseTimes,
  type ServerSignal,
  type ColdTerms,
  type ColdView,
  isDeparture,
  RetiredVersions,
  softwareVersionOf,
  streamLifetimeMilliseconds,
} from '@dogwoodtrestle/fleet';
import {OutlierDetector} from '@dogwoodtrestle/routing';
import {
  AdaptiveTimeout,
  type Clock,
  type Logger,
} from '@dogwoodtrestle/runtime';
import {type BackendServerRecord} from '@dogwoodtrestle/schema';

import {changeColdPeriod, createServerLimit} from './coldLimits.js';
import {KnownDepartures} from './knownDepartures.js';
import {PooledServer} from './pooledServer.js';
import {
  isRefusedConnection,
  ServerConnections,
  type ServerConnectionsOptions,
} from './serverConnections.js';
import {type ServerPaces} from './serverPaces.js';
import {type UnsolicitedBytes} from './unsolicitedBytes.js';

export {PooledServer} from './pooledServer.js';

/**
 * Time, beyond the directory's limit, for which a server that is silent there
 * still gets requests after its last byte to this router.
 */
const recentByteMilliseconds = 2_000;

/** When a server may accept requests again. */
export interface Availability {
  server: PooledServer;
  milliseconds: number;
  /** Whether the limit that the server states decides the time. */
  isLimited: boolean;
}

/** Options of a server pool. */
export interface ServerPoolOptions {
  logger: Logger;
  clock: Clock;
  connectTimeoutMilliseconds: number;
  maxConnectTimeoutMilliseconds: number;
  /** Silence after which a server with open requests is suspect. */
  suspectAfterMilliseconds: number;
  /** Called when a new connection is made. */
  onConnect: () => void;
  /** Called with the outcome of an attempt to connect, and the time it took. */
  onConnectEnd?: (
    service: string,
    ...end: Parameters<NonNullable<ServerConnectionsOptions['onConnectEnd']>>
  ) => void;
  /** Returns the limit of a cold server; undefined where there is none. */
  coldTerms?: (service: string, server: string) => ColdTerms | undefined;
  /**
   * Returns the time since a leader confirmed the servers, in milliseconds. Without
   * it, the router counts as in touch.
   */
  viewAgeMilliseconds?: () => number;
  /** Paces of servers that start or recover; without them there are none. */
  paces?: ServerPaces;
  /** Called when a server turns cold or warm, with its cold period before. */
  onColdPeriod?: (server: PooledServer, previous: ColdView | undefined) => void;
  /** Records bytes that no request waited for; without it nothing does. */
  unsolicitedBytes?: UnsolicitedBytes;
  /** Called when a request no longer uses a connection to a service's server. */
  onFree?: (service: string) => void;
}

/** Options of a list of records. */
export interface RecordListOptions {
  /** Whether the list has all records of a control process. */
  isComplete: boolean;
}

const defaultRecordListOptions: RecordListOptions = {isComplete: false};

/** All backend servers known to this router. */
export class ServerPool {
  private readonly servers = new Map<string, PooledServer>();
  private readonly departures = new KnownDepartures();
  private readonly outliers = new OutlierDetector({
    // Detects a server that fails half of its requests within a few requests.
    minimumRequests: 6,
    minimumSuccessRate: 0.65,
    windowMilliseconds: 4_000,
    baseEjectionMilliseconds: 2_000,
    maximumEjectionMilliseconds: 8_000,
    maximumEjectedShare: 0.5,
  });

  /** Failure domains whose servers get no requests. */
  private evacuated: ReadonlySet<string> = new Set();
  private readonly retired = new RetiredVersions();
  private readonly responseTimesByService = new Map<string, ResponseTimes>();

  private readonly connectTimeout: AdaptiveTimeout;

  /** Changes with the records of the servers. */
  revision = 0;

  constructor(private readonly options: ServerPoolOptions) {
    this.connectTimeout = new AdaptiveTimeout({
      minMilliseconds: options.connectTimeoutMilliseconds,
      maxMilliseconds: options.maxConnectTimeoutMilliseconds,
    });
  }

  /** Returns the times to the first event of a service's responses. */
  responseTimes(service: string): ResponseTimes {
    let times = this.responseTimesByService.get(service);
    if (times === undefined) {
      times = new ResponseTimes();
      this.responseTimesByService.set(service, times);
    }
    return times;
  }

  /** Applies records; a newer incarnation replaces an older one. */
  update(
    records: readonly BackendServerRecord[],
    {isComplete}: RecordListOptions = defaultRecordListOptions,
  ): void {
    if (records.length > 0) this.revision++;
    for (const record of records) this.applyRecord(record);
    if (isComplete) this.markUnlisted(new Set(records.map(({id}) => id)));
  }

  /** Sets the failure domains whose servers get no requests. */
  setEvacuated(domains: ReadonlySet<string>): void {
    const now = this.options.clock.now();
    const before = [...this.servers.values()].filter(server =>
      this.isEvacuated(server),
    );
    this.evacuated = domains;
    for (const server of before) {
      if (this.isEvacuated(server)) continue;
      server.returnedAt = now;
      const {period} = server.limit.cold;
      changeColdPeriod(server, this.options, at => period.recordReturned(at));
      this.options.paces?.start(server, 'evacuated');
    }
  }

  /** Returns the current incarnation of a server. */
  find(id: string): PooledServer | undefined {
    return this.servers.get(id);
  }

  /** All servers, including those that left recently. */
  all(): Iterable<PooledServer> {
    return this.servers.values();
  }

  /** Returns the servers of a service that may get requests by their state. */
  eligible(service: string, now: number): PooledServer[] {
    return this.allEligible(now).filter(
      ({record}) => record.service === service,
    );
  }

  /** Returns the servers of all services that may get requests by their state. */
  allEligible(now: number): PooledServer[] {
    return [...this.servers.values()].filter(
      server => !this.isEvacuated(server) && isEligible(server, now),
    );
  }

  /**
   * Returns available servers of a service, without those in `except`. Their
   * limits may still exclude some.
   */
  candidates(
    service: string,
    except: Pick<ReadonlySet<string>, 'has'>,
    maxConnections: (server: PooledServer) => number,
    now: number,
  ): PooledServer[] {
    return this.eligible(service, now).filter(
      server =>
        !except.has(server.record.id) &&
        server.bar.admits(now) &&
        server.connections.busy < maxConnections(server),
    );
  }

  /**
   * Returns the software versions of a service's servers, also of those that may
   * have begun streams before they left.
   */
  softwareVersions(service: string, now: number): Set<string> {
    const since = now - streamLifetimeMilliseconds;
    const versions = new Set(this.retired.since(service, since));
    for (const {record} of this.servers.values()) {
      const isPresent = record.state !== 'left' && record.service === service;
      if (isPresent) versions.add(softwareVersionOf(record));
    }
    return versions;
  }

  /** Whether a server of a service has a software version and doesn't leave. */
  hasReadyServer(service: string, softwareVersion: string): boolean {
    return [...this.servers.values()].some(
      server =>
        server.record.service === service &&
        !isDeparture(server.record) &&
        hasVersion(server, softwareVersion),
    );
  }

  /**
   * Returns the server of a service that may accept requests first, and the time
   * until then: 0 where one may now. Undefined where none will.
   *
   * @param softwareVersion The only version that may get it; any if undefined.
   */
  firstAvailable(
    service: string,
    softwareVersion: string | undefined,
    now: number,
  ): Availability | undefined {
    let first: Availability | undefined;
    for (const server of this.servers.values()) {
      if (!isUsable(server, service, softwareVersion, now)) continue;
      if (this.isEvacuated(server)) continue;
      const {bar, limit} = server;
      const unblockedIn = Math.max(0, bar.blockedUntil - now);
      const admittedIn = limit.retryMilliseconds(now);
      const milliseconds = Math.max(unblockedIn, admittedIn);
      const isFirst = milliseconds < (first?.milliseconds ?? Infinity);
      if (!isFirst) continue;
      const isLimited = admittedIn > unblockedIn;
      first = {server, milliseconds, isLimited};
    }
    return first;
  }

  /** Whether a server would get requests if its domain weren't evacuated. */
  hasEvacuated(
    service: string,
    softwareVersion: string | undefined,
    now: number,
  ): boolean {
    if (this.evacuated.size === 0) return false;
    return [...this.servers.values()].some(
      server =>
        isUsable(server, service, softwareVersion, now) &&
        this.isEvacuated(server),
    );
  }

  /** Records a signal of a server's state that an attempt has received. */
  addSignal(
    server: PooledServer,
    attempt: object,
    request: string | undefined,
    signal: ServerSignal,
    now: number,
  ): void {
    const {bar, record, limit} = server;
    if (signal.kind === 'unreachable') {
      // A process that has ended keeps no connection.
      if (signal.isRefused && server.connections.established === 0) {
        const {period} = limit.cold;
        changeColdPeriod(server, this.options, at => period.recordEnd(at));
        server.connections.recordEnd();
      }
      this.options.paces?.start(server, 'unreachable');
    } else if (signal.kind === 'refused') {
      this.options.paces?.recordFailure(server);
    }
    const previous = {reason: bar.reason, until: bar.blockedUntil};
    bar.record(attempt, signal, now);
    const {reason, blockedUntil} = bar;
    if (reason === previous.reason && blockedUntil === previous.until) return;
    const {id, service} = record;
    if (reason === undefined) {
      this.options.logger.info(
        {server: id, service, request, was: previous.reason},
        'backend server unblocked',
      );
      return;
    }
    if (reason === 'leaving') server.connections.closeIdle();
    const milliseconds = Number.isFinite(blockedUntil)
      ? Math.round(blockedUntil - now)
      : undefined;
    this.options.logger.info(
      {server: id, service, request, reason, milliseconds},
      'backend server blocked',
    );
  }

  /**
   * Returns the servers that their pace lets have a request, or all; without
   * those to which connections are late, if there are others.
   */
  prefer(servers: PooledServer[]): PooledServer[] {
    const prompt = servers.filter(({connections}) => !connections.hasOnlyLate);
    const preferred = prompt.length > 0 ? prompt : servers;
    return this.options.paces?.prefer(preferred) ?? preferred;
  }

  /** Whether a server is silent, or was ejected for its failures. */
  isSuspect(server: PooledServer, now: number): boolean {
    const {suspectAfterMilliseconds} = this.options;
    return (
      server.isSilent(now, suspectAfterMilliseconds) ||
      this.outliers.isEjected(server.record.id, now)
    );
  }

  /** Returns the part of its full load that a server should get; or undefined. */
  paceOf(server: PooledServer): number | undefined {
    return this.options.paces?.part(server);
  }

  /** Records the outcome of an attempt; may eject the server as an outlier. */
  record(
    server: PooledServer,
    outcome: 'success' | 'failure',
    now: number,
  ): void {
    const {id, service} = server.record;
    const wasEjected = this.outliers.isEjected(id, now);
    const count = this.countReady(service);
    this.outliers.record(id, outcome, count, now);
    if (outcome === 'failure') this.options.paces?.recordFailure(server);
    if (wasEjected || !this.outliers.isEjected(id, now)) return;
    this.options.logger.info(
      {server: id, service},
      'backend server ejected for its failure rate',
    );
    this.options.paces?.start(server, 'ejected');
  }

  /** Marks a server as left: another incarnation responds at its address. */
  markReplaced(server: PooledServer): void {
    const left = {...server.record, state: 'left'} as const;
    this.retired.observe(server.record, left, this.options.clock.now());
    server.record = left;
    server.connections.closeIdle();
  }

  /** Closes all idle connections. */
  close(): void {
    for (const server of this.servers.values()) server.connections.close();
  }

  private isEvacuated({record}: PooledServer): boolean {
    const {failureDomain} = record;
    return failureDomain !== undefined && this.evacuated.has(failureDomain);
  }

  private countReady(service: string): number {
    let count = 0;
    for (const {record} of this.servers.values()) {
      if (record.service === service && record.state === 'ready') count++;
    }
    return count;
  }

  private applyRecord(record: BackendServerRecord): void {
    if (record.state === 'left') this.departures.record(record);
    else if (this.departures.has(record)) return;
    const known = this.servers.get(record.id);
    if (known === undefined) {
      if (record.state !== 'left') this.add(record);
      else this.retired.observe(known, record, this.options.clock.now());
      return;
    }
    if (record.startedAt < known.record.startedAt) return;
    this.retired.observe(known.record, record, this.options.clock.now());
    known.unlistedAt = Infinity;
    const isSameIncarnation =
      record.startedAt === known.record.startedAt &&
      record.address === known.record.address;
    if (record.state === 'left') {
      known.record = {...known.record, state: 'left'};
      known.connections.closeIdle();
    } else if (isSameIncarnation) {
      // Control processes may report changes in another order. Silence is their
      // observation, and ends whatever the sequence.
      const {state, sequence} = known.record;
      if (record.sequence < sequence && state !== 'silent') return;
      known.record = record;
      if (state === 'silent') this.options.paces?.start(known, 'silent');
      const {period} = known.limit.cold;
      changeColdPeriod(known, this.options, now =>
        period.recordAnnouncement(record, now),
      );
    } else {
      known.connections.closeIdle();
      this.outliers.remove(record.id);
      this.add(record);
    }
    this.evictDeparted();
  }

  /** Notes since when a control process does not know the other servers. */
  private markUnlisted(listed: ReadonlySet<string>): void {
    const now = this.options.clock.now();
    for (const server of this.servers.values()) {
      if (listed.has(server.record.id)) continue;
      server.unlistedAt = Math.min(server.unlistedAt, now);
    }
  }

  private add(record: BackendServerRecord): void {
    const {
      clock,
      maxConnectTimeoutMilliseconds,
      onConnect,
      onConnectEnd,
      onFree,
      unsolicitedBytes,
    } = this.options;
    const connections = new ServerConnections(record.address, {
      clock,
      connectTimeout: this.connectTimeout,
      maxConnectTimeoutMilliseconds,
      onConnect,
      onConnectEnd: (...end) => onConnectEnd?.(record.service, ...end),
      onFree: () => onFree?.(record.service),
      onUnsolicited: place => unsolicitedBytes?.record(record, place),
      onUnreachable: error => {
        const isRefused = isRefusedConnection(error);
        const signal = {kind: 'unreachable', isRefused} as const;
        this.addSignal(server, connections, undefined, signal, clock.now());
      },
      proof: this.createProof(record),
    });
    const isUnproven = (now: number) => connections.isUnproven(now);
    const limit = createServerLimit(record, {...this.options, isUnproven});
    const server = new PooledServer(record, connections, limit);
    this.servers.set(record.id, server);
    changeColdPeriod(server, this.options, now =>
      limit.cold.period.recordAnnouncement(record, now),
    );
    this.options.paces?.discover(server);
  }

  private createProof({id, service, startedAt}: BackendServerRecord) {
    const {coldTerms, viewAgeMilliseconds = () => 0} = this.options;
    return new ProcessProof({
      isLimited: () => coldTerms?.(service, id) !== undefined,
      viewAgeMilliseconds,
      isListed: () => {
        const server = this.servers.get(id);
        const isKnown = server?.record.startedAt === startedAt;
        const isHeard = server?.record.state === 'ready';
        return isKnown && isHeard && server.unlistedAt === Infinity;
      },
      isServiceProven: now => this.isServiceProven(service, now),
    });
  }

  /** Whether a server that may get requests now is known to live. */
  private isServiceProven(service: string, now: number): boolean {
    return [...this.servers.values()].some(
      server =>
        isUsable(server, service, undefined, now) &&
        !this.isEvacuated(server) &&
        server.bar.admits(now) &&
        server.connections.hasProof(now),
    );
  }

  /** Removes the oldest of the servers that left and have no open requests. */
  private evictDeparted(): void {
    const departed = [...this.servers.values()].filter(
      ({record, openRequests}) => record.state === 'left' && openRequests === 0,
    );
    const excess = departed.length - maxDepartedServers;
    for (const {record} of departed.slice(0, Math.max(0, excess))) {
      this.servers.delete(record.id);
      this.outliers.remove(record.id);
    }
  }
}

/**
 * Whether a server's software has a version.
 *
 * @param softwareVersion Any version matches if undefined.
 */
export function hasVersion(
  {record}: PooledServer,
  softwareVersion: string | undefined,
): boolean {
  const isAny = softwareVersion === undefined;
  return isAny || softwareVersionOf(record) === softwareVersion;
}

/** Servers that left are kept, as delayed records may name them again. */
const maxDepartedServers = 200;

/** Whether a server of a service and version may get requests by its state. */
function isUsable(
  server: PooledServer,
  service: string,
  softwareVersion: string | undefined,
  now: number,
): boolean {
  const isWanted =
    server.record.service === service && hasVersion(server, softwareVersion);
  return isWanted && isEligible(server, now);
}

/** Whether requests may be sent to a server in its recorded state. */
function isEligible(server: PooledServer, now: number): boolean {
  const {record, lastByteAt, unlistedAt} = server;
  const {silentAfterMilliseconds} = defaultServerDirectoryOptions;
  // A new leader may know it only by its next announcement.
  const isListed = now - unlistedAt < silentAfterMilliseconds;
  if (record.state === 'ready' && isListed) return true;
  if (record.state !== 'ready' && record.state !== 'silent') return false;
  // It may be partitioned from the control processes but not from this router.
  return now - lastByteAt < recentByteMilliseconds + silentAfterMilliseconds;
}
