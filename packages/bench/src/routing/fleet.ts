/**
 * @fileoverview One simulation run in virtual time: servers announce themselves
 * to some routers and reach the others by gossip, and callers retry.
 */
import {type Announcement} from '@dogwoodtrestle/schema';

import {exponential, seededRandom} from '../util/random.js';
import {Measurements, type RequestRecord} from './measurements.js';
import {
  type EngineFault,
  type EngineOptions,
  ModelServer,
} from './modelServer.js';
import {type RouterPolicy} from './policy.js';
import {RouterModel} from './routerModel.js';
import {VirtualTime} from './virtualTime.js';
import {Workload} from './workload.js';

/** Options of a run. */
export interface FleetOptions {
  seed: number;
  policy: RouterPolicy;
  serverCount: number;
  routerCount: number;
  /** Number of routers a server announces to; the others get it by gossip. */
  announceTo: number;
  /** Requests per second at a time of the run in milliseconds. */
  rate: (now: number) => number;
  durationMilliseconds: number;
  /** Maximum tries of a caller, including the first. */
  callerTries: number;
  engine: Partial<EngineOptions>;
  faults: readonly ScheduledFault[];
  /** Share of the requests that start with the same agreement. */
  hotDocumentShare: number;
  /** Servers that start during the run. */
  freshServers: readonly FreshServer[];
}

/** Sets a fault of a server at a time in milliseconds. */
export interface ScheduledFault {
  server: string;
  at: number;
  fault: EngineFault;
}

/** A server that starts at a time in milliseconds and warms up. */
export interface FreshServer {
  server: string;
  at: number;
  /** Factor on the duration of its steps while it warms up. */
  slowdown: number;
  warmUpMilliseconds: number;
}

/** Defaults of {@link FleetOptions}. */
export const defaultFleetOptions: Omit<FleetOptions, 'policy' | 'rate'> = {
  seed: 1,
  serverCount: 12,
  routerCount: 6,
  announceTo: 2,
  durationMilliseconds: 120_000,
  callerTries: 3,
  engine: {},
  faults: [],
  hotDocumentShare: 0,
  freshServers: [],
};

/** Failure domains, assigned in turn to servers and routers. */
export const failureDomains = [
  'kamloops-1',
  'kamloops-2',
  'prince-george',
  'dawson-creek',
];

const announceIntervalMilliseconds = 1_000;
/** Announcements per one that carries the whole cache contents. */
const fullCacheInterval = 10;
/** Probability that an announcement is lost on its way to a router. */
const lossProbability = 0.05;
const gossipDelayMilliseconds = 1_000;
const failedRetryMilliseconds = 200;

/** A modelled fleet with its callers. */
export class Fleet {
  readonly measurements = new Measurements();
  private readonly options: FleetOptions;
  private readonly time = new VirtualTime();
  private readonly random: () => number;
  private readonly servers = new Map<string, ModelServer>();
  private readonly routers: RouterModel[] = [];
  private readonly workload: Workload;

  constructor(
    options: Partial<FleetOptions> & Pick<FleetOptions, 'policy' | 'rate'>,
  ) {
    this.options = {...defaultFleetOptions, ...options};
    this.random = seededRandom(this.options.seed);
    this.workload = new Workload(
      this.options.seed + 1,
      this.options.hotDocumentShare,
    );
    this.createServers();
    this.createRouters();
  }

  run(): Measurements {
    const {durationMilliseconds, faults, freshServers} = this.options;
    const fresh = new Map(freshServers.map(each => [each.server, each]));
    for (const server of this.servers.values()) {
      this.startServer(server, fresh.get(server.name));
    }
    for (const {server, at, fault} of faults) {
      this.time.after(at, () => this.servers.get(server)?.setFault(fault));
    }
    this.scheduleArrival();
    this.time.runUntil(durationMilliseconds);
    return this.measurements;
  }

  private createServers(): void {
    for (let index = 0; index < this.options.serverCount; index += 1) {
      const name = `s${index}`;
      const server = new ModelServer(
        name,
        domainOf(index),
        this.time,
        this.random,
        this.options.engine,
      );
      this.servers.set(name, server);
    }
  }

  private createRouters(): void {
    const {routerCount, policy} = this.options;
    for (let index = 0; index < routerCount; index += 1) {
      const router = new RouterModel({
        failureDomain: domainOf(index),
        routerCount,
        policy,
        time: this.time,
        random: this.random,
        servers: this.servers,
        measurements: this.measurements,
      });
      this.routers.push(router);
    }
  }

  private startServer(server: ModelServer, fresh?: FreshServer): void {
    const first = fresh ? fresh.at : this.random() * 900;
    if (fresh) {
      server.slowdown = fresh.slowdown;
      const warmAt = fresh.at + fresh.warmUpMilliseconds;
      this.time.after(warmAt, () => (server.slowdown = 1));
    }
    let count = 0;
    this.time.every(
      announceIntervalMilliseconds,
      () => {
        if (!server.isDown) {
          this.broadcast(server.announce(count % fullCacheInterval === 0));
        }
        count += 1;
      },
      first,
    );
  }

  private broadcast(announcement: Announcement): void {
    const firstRouter = Number(announcement.name.slice(1));
    const {announceTo, routerCount} = this.options;
    this.routers.forEach((router, index) => {
      if (this.random() < lossProbability) return;
      const distance = (index - firstRouter + 100 * routerCount) % routerCount;
      const isDirect = distance < announceTo;
      const delay = isDirect ? 1 : this.random() * gossipDelayMilliseconds;
      this.time.after(delay, () => router.observe(announcement, delay));
    });
  }

  private scheduleArrival(): void {
    const perMillisecond = this.options.rate(this.time.now) / 1_000;
    this.time.after(exponential(perMillisecond, this.random), () => {
      const request = this.workload.next();
      const record = {request, sentAt: this.time.now, tries: 0};
      this.measurements.records.push(record);
      this.tryRequest(record);
      this.scheduleArrival();
    });
  }

  private tryRequest(record: RequestRecord): void {
    record.tries += 1;
    const {request} = record;
    const {measurements, time} = this;
    const router =
      this.routers[Math.floor(this.random() * this.routers.length)]!;
    let previousToken: number | undefined;
    let isOver = false;
    const retry = (milliseconds: number) => {
      isOver = true;
      if (record.tries >= this.options.callerTries) return;
      time.after(milliseconds, () => this.tryRequest(record));
    };
    const handle = router.send(request, {
      onToken: () => {
        record.firstTokenMilliseconds ??= time.now - record.sentAt;
        if (previousToken !== undefined) {
          measurements.betweenTokens.record(time.now - previousToken);
        }
        previousToken = time.now;
      },
      onDone: () => {
        isOver = true;
        record.completedAt = time.now;
      },
      onFailure: () => {
        measurements.recordRefusal('failed');
        retry(failedRetryMilliseconds);
      },
      onRefusal: (reason, retryAfterMilliseconds) => {
        measurements.recordRefusal(reason);
        retry(retryAfterMilliseconds);
      },
    });
    time.after(request.kind.deadlineMilliseconds, () => {
      if (isOver) return;
      measurements.recordRefusal('timedOut');
      router.cancel(handle);
      retry(failedRetryMilliseconds);
    });
  }
}

function domainOf(index: number): string {
  return failureDomains[index % failureDomains.length]!;
}
