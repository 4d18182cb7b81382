/**
 * @fileoverview Speeds of the backend servers, from this router's responses and
 * from the leader's view of all routers.
 *
 * Without a view the own responses count. One that grows old loses first the other
 * routers' open requests, and much later the speeds.
 */
import {
  DecayingSums,
  emptySums,
  fitResponseModel,
  gapSums,
  longPromptServers,
  type PlacementRequest,
  refusalShareOf,
  type ResponseModel,
  type RouteTable,
  sampleSums,
  type ServerCandidate,
  type ServerSight,
  SightReader,
  slownessOf,
  SpeedSamples,
  spreadOf,
  type SpeedSpread,
} from '@dogwoodtrestle/fleet';
import {
  type Clock,
  type Counter,
  type Histogram,
  type Logger,
  type MetricsRegistry,
} from '@dogwoodtrestle/runtime';
import {type WatchUpdate} from '@dogwoodtrestle/schema';

import {type PooledServer, type ServerPool} from './serverPool.js';
import {type WatchReport, type WatchTopic} from './watchTopic.js';

/** Age up to which the other routers' open requests of a view count. */
const maxLoadAgeMilliseconds = 5_000;

/** Age up to which the speeds of a view count. */
const maxSpeedAgeMilliseconds = 30_000;

/**
 * Part of the tightest latency goal of a service's streams; a prompt that takes
 * longer to read makes others late that are read after it.
 */
const longPromptGoalShare = 0.5;

/** Interval of the log lines on a service's speeds. */
const logMilliseconds = 10_000;

/** Most servers in such a line. */
const maxLoggedServers = 8;

/** Options of the speeds. */
export interface ServerSpeedsOptions {
  clock: Clock;
  logger: Logger;
  metrics: MetricsRegistry;
  pool: Pick<ServerPool, 'find' | 'all' | 'revision'>;
}

/** Speed of a server as it was seen last. */
interface SeenServer {
  own: DecayingSums;
  sight?: ServerSight;
  /** Own open requests in the report that was sent last. */
  reportedRequests: number;
}

/** What this router knows of the speed and the load of a server. */
export type SeenLoad = Pick<
  ServerCandidate,
  'otherRequests' | 'slowness' | 'refusalShare'
>;

/** Responses of one service at this router. */
interface ServiceTimes {
  sums: DecayingSums;
  holds: DecayingSums;
  model?: ResponseModel;
  /** Spread of the servers' speeds in the newest view. */
  spread: SpeedSpread;
}

/** Observes the speeds of servers, and shares them through the leader. */
export class ServerSpeeds implements WatchTopic {
  private readonly servers = new WeakMap<PooledServer, SeenServer>();
  private readonly services = new Map<string, ServiceTimes>();
  private readonly samples = new SpeedSamples();
  private readonly reader = new SightReader();
  private viewAt = -Infinity;
  private kindsRevision = -1;
  private loggedAt = -Infinity;
  private readonly age: Histogram;
  private readonly refusals: Counter;

  constructor(private readonly options: ServerSpeedsOptions) {
    const {metrics} = options;
    this.age = metrics.histogram(
      'dogwoodtrestle_speed_view_age_milliseconds',
      'Age of the view of the speeds of backend servers, at each reply of a leader.',
    );
    this.refusals = metrics.counter(
      'dogwoodtrestle_full_server_refusals_total',
      'Requests that backend servers refused without running them, by service.',
    );
  }

  /** Records the time that a request took, or has waited so far. */
  observe(server: PooledServer, tokens: number, milliseconds: number): void {
    this.add(server, sampleSums(tokens, Math.max(0, milliseconds)));
  }

  /** Records the pauses between the events of a stream, and their duration. */
  observeGaps(server: PooledServer, gaps: number, milliseconds: number): void {
    this.add(server, gapSums(gaps, Math.max(0, milliseconds)));
  }

  /** Records that a server refused a request without running it. */
  observeRefusal(server: PooledServer): void {
    this.refusals.add({service: server.record.service});
    this.add(server, {...emptySums(), refusals: 1});
  }

  /** Records the time for which a request was open at a server. */
  observeHold({record}: PooledServer, milliseconds: number): void {
    const now = this.options.clock.now();
    this.timesOf(record.service).holds.add(sampleSums(0, milliseconds), now);
  }

  /** Returns what the choice of a server follows from, for a service. */
  placement(
    service: string,
    routes: RouteTable | undefined,
    now: number,
  ): Pick<
    PlacementRequest,
    'model' | 'spread' | 'holdMilliseconds' | 'longPromptMilliseconds'
  > {
    const {holds, spread} = this.timesOf(service);
    const {count, milliseconds} = holds.at(now);
    const goal = routes?.tightestStreamGoal(service);
    return {
      model: this.modelOf(service, now),
      spread,
      holdMilliseconds: count >= 1 ? milliseconds / count : undefined,
      longPromptMilliseconds:
        goal === undefined ? undefined : goal * longPromptGoalShare,
    };
  }

  /** Returns what is known of the speed and the load of a server. */
  loadOf(server: PooledServer, now: number): SeenLoad {
    const seen = this.servers.get(server);
    const age = now - this.viewAt;
    if (age > maxSpeedAgeMilliseconds) {
      const sums = seen?.own.at(now);
      if (sums === undefined) return {};
      const model = this.modelOf(server.record.service, now);
      const slowness = slownessOf(sums, model);
      return {slowness, refusalShare: refusalShareOf(sums)};
    }
    const sight = seen?.sight;
    const others = (sight?.openRequests ?? 0) - (seen?.reportedRequests ?? 0);
    const isLoadKnown = age <= maxLoadAgeMilliseconds;
    return {
      slowness: sight?.slowness,
      refusalShare: sight?.refusalShare,
      otherRequests: isLoadKnown ? Math.max(0, others) : undefined,
    };
  }

  /** Assigns the servers for long prompts anew if the servers have changed. */
  refreshKinds(): void {
    const {pool} = this.options;
    if (this.kindsRevision === pool.revision) return;
    this.kindsRevision = pool.revision;
    for (const list of this.serversByService().values()) {
      const long = longPromptServers(list);
      for (const server of list) server.isForLongPrompts = long.has(server.id);
    }
  }

  report(): WatchReport {
    const now = this.options.clock.now();
    const open = [];
    for (const server of this.options.pool.all()) {
      const seen = this.servers.get(server);
      if (seen !== undefined) seen.reportedRequests = server.openRequests;
      if (server.openRequests === 0) continue;
      this.seenOf(server).reportedRequests = server.openRequests;
      const {id, startedAt, service} = server.record;
      const {openRequests} = server;
      open.push({server: id, startedAt, service, openRequests});
    }
    const {report, confirm} = this.samples.report(open, now);
    const speeds = {...report, ...this.reader.position};
    return {fields: {speeds}, onReceived: confirm};
  }

  apply({speeds, speedValues}: WatchUpdate): void {
    const {clock, pool} = this.options;
    const now = clock.now();
    if (speeds !== undefined && speedValues !== undefined) {
      const sights = this.reader.read({speeds, speedValues});
      if (sights !== undefined) {
        this.viewAt = now - speeds.ageMilliseconds;
        for (const [service, model] of sights.models) {
          this.timesOf(service).model = model;
        }
        for (const sight of sights.servers) this.applySight(sight, pool);
        this.applyCapacities();
        this.kindsRevision = -1;
      }
    }
    if (Number.isFinite(this.viewAt)) this.age.observe(now - this.viewAt);
    if (now - this.loggedAt >= logMilliseconds) this.log(now);
  }

  private applySight(sight: ServerSight, pool: Pick<ServerPool, 'find'>): void {
    const server = pool.find(sight.server);
    if (server?.record.startedAt !== sight.startedAt) return;
    this.seenOf(server).sight = sight;
  }

  /** Gives servers their capacities in the view; even ones all have the same. */
  private applyCapacities(): void {
    for (const [service, servers] of this.serversByService()) {
      const capacities = servers.map(server => this.capacityOf(server));
      const times = this.timesOf(service);
      const spread = spreadOf(capacities, times.spread);
      if (spread !== times.spread) {
        const {logger} = this.options;
        logger.info({service, spread}, 'spread of server speeds changed');
      }
      times.spread = spread;
      for (const [index, server] of servers.entries()) {
        server.capacity = spread === 'even' ? 1 : capacities[index]!;
      }
    }
  }

  private capacityOf(server: PooledServer): number {
    return this.servers.get(server)?.sight?.capacity ?? 1;
  }

  /** Returns the servers that haven't left. */
  private serversByService(): ReadonlyMap<string, PooledServer[]> {
    const byService = new Map<string, PooledServer[]>();
    for (const server of this.options.pool.all()) {
      if (server.record.state === 'left') continue;
      const {service} = server.record;
      const list = byService.get(service) ?? [];
      list.push(server);
      byService.set(service, list);
    }
    return byService;
  }

  private add(
    server: PooledServer,
    sums: Parameters<DecayingSums['add']>[0],
  ): void {
    const now = this.options.clock.now();
    const {id, startedAt, service} = server.record;
    this.seenOf(server).own.add(sums, now);
    this.timesOf(service).sums.add(sums, now);
    this.samples.add({server: id, startedAt, service}, sums);
  }

  private modelOf(service: string, now: number): ResponseModel {
    const {model, sums} = this.timesOf(service);
    const isViewUsed = now - this.viewAt <= maxSpeedAgeMilliseconds;
    if (isViewUsed && model !== undefined) return model;
    return fitResponseModel(sums.at(now));
  }

  private seenOf(server: PooledServer): SeenServer {
    let seen = this.servers.get(server);
    if (seen === undefined) {
      seen = {own: new DecayingSums(), reportedRequests: 0};
      this.servers.set(server, seen);
    }
    return seen;
  }

  private timesOf(service: string): ServiceTimes {
    let times = this.services.get(service);
    if (times === undefined) {
      times = {
        sums: new DecayingSums(),
        holds: new DecayingSums(),
        spread: 'even',
      };
      this.services.set(service, times);
    }
    return times;
  }

  /** Logs the slowest servers of the view. */
  private log(now: number): void {
    this.loggedAt = now;
    const servers = [];
    for (const server of this.options.pool.all()) {
      const sight = this.servers.get(server)?.sight;
      if (sight === undefined || server.record.state === 'left') continue;
      servers.push({
        server: server.id,
        slowness: round(sight.slowness),
        capacity: round(sight.capacity),
        open: sight.openRequests,
      });
    }
    if (servers.length === 0) return;
    servers.sort((a, b) => b.slowness - a.slowness);
    this.options.logger.info(
      {
        ageMilliseconds: Math.round(now - this.viewAt),
        servers: servers.length,
        slowest: servers.slice(0, maxLoggedServers),
        fastest: servers.at(-1),
      },
      'speeds of backend servers',
    );
  }
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
