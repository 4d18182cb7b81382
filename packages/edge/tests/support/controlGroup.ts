/**
 * @fileoverview Control processes that a router calls in virtual time, over
 * pooled connections. Tests freeze processes, change the leader, silence open
 * connections, and lose the replies to a method.
 */
import {changesBetween, HeldGrants} from '@dogwoodtrestle/fleet';
import {
  type Logger,
  MetricsRegistry,
  type PeerCallClient,
  silentLogger,
  sleep,
} from '@dogwoodtrestle/runtime';
import {
  type FleetConfiguration,
  type FleetRoute,
  type LeaderHint,
  type LeaderView,
  type UsageReply,
  type UsageReport,
  type WatchReply,
  type WatchRequest,
} from '@dogwoodtrestle/schema';

import {ControlPlaneClient} from '../../src/controlPlaneClient.js';
import {defaultEdgeOptions, type EdgeOptions} from '../../src/edgeOptions.js';
import {RouterIdentity} from '../../src/routerIdentity.js';
import {ReplyCounter} from '../../src/replyCounter.js';
import {createVirtualClock} from './virtualClock.js';

/** Method of a control process that routers call. */
export type ControlMethod = 'watch' | 'usage';

/** One control process. */
interface ControlProcess {
  address: string;
  /** Generated at each start; names the directory of its servers. */
  epoch: string;
  /** Address of the leader that it knows, and its term. */
  leader?: string;
  term: number;
  /** When it was frozen; it handles nothing until it is resumed. */
  frozenAt?: number;
  /** Time up to which a majority has confirmed it as the leader, if it lost it. */
  confirmedUntil?: number;
  /** Called when it is resumed. */
  resumers: Array<() => void>;
  configuration: FleetConfiguration;
  /** Called at changes of the configuration. */
  waiters: Array<() => void>;
}

/** A pooled connection of the router. */
interface PooledConnection {
  /** Method of the call in progress. */
  method?: ControlMethod;
  /** Whether nothing passes any more, without a reset. */
  isSilent: boolean;
  isClosed: boolean;
}

/** Time until a resumed process has heard of the current leader. */
export const newsMilliseconds = 200;

/** Options of a group. Times are in milliseconds. */
export interface ControlGroupOptions {
  processes: number;
  /** Returns the time of a message between a router and a control process. */
  delayMilliseconds: () => number;
  /** Time for which a leader delays the reply to a watch call. */
  watchMilliseconds: number;
  logger: Logger;
}

const defaultGroupOptions: ControlGroupOptions = {
  processes: 3,
  delayMilliseconds: () => 2,
  watchMilliseconds: 1_000,
  logger: silentLogger,
};

/** Creates a configuration of a version with one route. */
export function createConfiguration(
  version: number,
  routes: FleetRoute[] = [],
): FleetConfiguration {
  const limits = {
    headerBytes: 65_536,
    bodyBytes: 65_536,
    headerTimeoutMilliseconds: 1_000,
    idleTimeoutMilliseconds: 15_000,
  };
  return {version, routes, services: [], limits};
}

/** Control processes and one router that follows them. */
export class ControlGroup {
  readonly clock = createVirtualClock();
  readonly control: ControlPlaneClient;
  /** Methods to which the router gets no replies. */
  readonly lostReplies = new Set<ControlMethod>();
  /** Time by which a leader's updates are later than other replies. */
  updateDelayMilliseconds = 0;
  /** Number of updates of the servers that the router has applied. */
  serverUpdates = 0;
  /** Calls of the router by method. */
  readonly callCounts: Record<ControlMethod, number> = {watch: 0, usage: 0};
  /** Address that the router has called last. */
  lastCalled = '';
  private readonly options: ControlGroupOptions;
  private readonly processes: ControlProcess[];
  private readonly pools = new Map<string, PooledConnection[]>();
  private lastEpoch = 0;

  constructor(options: Partial<ControlGroupOptions> = {}) {
    this.options = {...defaultGroupOptions, ...options};
    this.processes = Array.from({length: this.options.processes}, (_, n) => ({
      address: `c-${n}:1`,
      epoch: `epoch-${this.lastEpoch++}`,
      leader: 'c-0:1',
      term: 1,
      resumers: [],
      configuration: createConfiguration(1),
      waiters: [],
    }));
    this.control = this.createClient();
  }

  /** Starts the router and lets the time pass until it has a configuration. */
  async start(): Promise<void> {
    this.control.start();
    await this.advance(3_000);
  }

  /** Lets time pass. */
  async advance(milliseconds: number): Promise<void> {
    await this.clock.runUntil(this.clock.now() + milliseconds);
  }

  /** Stops a process from handling anything. */
  freeze(index: number): void {
    this.process(index).frozenAt ??= this.clock.now();
  }

  /**
   * Lets a frozen process go on. If another one was elected meanwhile, it learns
   * of that, and of the configuration, only after a time.
   */
  resume(index: number): void {
    const process = this.process(index);
    if (process.frozenAt === undefined) return;
    process.confirmedUntil = process.frozenAt;
    process.frozenAt = undefined;
    for (const resume of process.resumers.splice(0)) resume();
    this.clock.setTimer(newsMilliseconds, () => {
      if (process.frozenAt !== undefined) return;
      process.confirmedUntil = undefined;
      const newest = this.newest();
      const {leader, term, configuration} = newest;
      Object.assign(process, {leader, term, configuration});
      for (const resume of process.waiters.splice(0)) resume();
    });
  }

  /** Makes a process the leader for all that aren't frozen. */
  elect(index: number): void {
    const {address} = this.process(index);
    const term = 1 + Math.max(...this.processes.map(one => one.term));
    for (const one of this.processes) {
      if (one.frozenAt === undefined) {
        Object.assign(one, {leader: address, term});
      }
    }
  }

  /** Elects another leader if the current one is frozen and others aren't. */
  electIfFrozen(): void {
    const {leader} = this.newest();
    const isFrozen = ({address, frozenAt}: ControlProcess) =>
      frozenAt !== undefined && address === leader;
    if (!this.processes.some(isFrozen)) return;
    const next = this.processes.findIndex(one => one.frozenAt === undefined);
    if (next >= 0) this.elect(next);
  }

  /** Activates a configuration at all processes that aren't frozen. */
  configure(version: number): void {
    for (const one of this.processes) {
      if (one.frozenAt !== undefined) continue;
      one.configuration = createConfiguration(version);
      for (const resume of one.waiters.splice(0)) resume();
    }
  }

  /** Opens idle connections to a process, as calls at the same time do. */
  openConnections(index: number, count: number): void {
    const pool = this.poolOf(this.process(index).address);
    for (let added = 0; added < count; added++) {
      pool.push({isSilent: false, isClosed: false});
    }
  }

  /**
   * Makes the connections that are open now silent; new ones work.
   *
   * @param method Limits it to those with a call of a method in progress.
   */
  silenceOpenConnections(method?: ControlMethod): void {
    for (const connection of [...this.pools.values()].flat()) {
      if (method !== undefined && connection.method !== method) continue;
      connection.isSilent = true;
    }
  }

  /**
   * Returns the time until the router has a version, in milliseconds; Infinity
   * if it hasn't within the limit.
   */
  async timeUntilVersion(version: number, limit = 20_000): Promise<number> {
    const start = this.clock.now();
    while (this.clock.now() - start < limit) {
      if (this.control.routes?.version === version) {
        return this.clock.now() - start;
      }
      await this.advance(5);
    }
    return Infinity;
  }

  private process(index: number): ControlProcess {
    const process = this.processes[index];
    if (process === undefined) throw new Error(`no control process ${index}`);
    return process;
  }

  private poolOf(address: string): PooledConnection[] {
    const pool = this.pools.get(address) ?? [];
    this.pools.set(address, pool);
    return pool;
  }

  private createClient(): ControlPlaneClient {
    const {clock} = this;
    const options: EdgeOptions = {
      ...defaultEdgeOptions,
      instance: 'r-1',
      failureDomain: 'domain-1',
      callerAddress: '',
      peerAddress: 'r-1:1',
      seeds: () => this.processes.map(({address}) => address),
      codec: {
        decodeRequest: () => undefined,
        encodeRequest: () => [],
        decodeResponse: () => {
          throw new Error('no response is decoded here');
        },
      },
      logger: this.options.logger,
      metrics: new MetricsRegistry(),
      clock,
      random: () => 0.5,
    };
    return new ControlPlaneClient(
      options,
      this.createCalls(),
      new RouterIdentity({clock, instance: 'r-1', steadyClock: 'boot-1'}),
      new HeldGrants(),
      {onServers: () => this.serverUpdates++, topics: []},
      new ReplyCounter(options),
    );
  }

  private createCalls(): PeerCallClient {
    const call = (
      address: string,
      method: ControlMethod,
      message: unknown,
      {
        timeoutMilliseconds,
        signal,
      }: {timeoutMilliseconds: number; signal?: AbortSignal},
    ): Promise<unknown> => {
      this.callCounts[method]++;
      this.lastCalled = address;
      const {clock} = this;
      return new Promise((resolve, reject) => {
        const connection = this.takeConnection(address, method);
        const fail = () => {
          this.closeConnection(address, connection);
          reject(new Error(`${method} at ${address} timed out`));
        };
        const cancel = clock.setTimer(timeoutMilliseconds, fail);
        signal?.addEventListener('abort', fail);
        void this.exchange(address, method, message, connection).then(reply => {
          cancel();
          connection.method = undefined;
          resolve(reply);
        });
      });
    };
    const client: Partial<PeerCallClient> = {
      call: call as PeerCallClient['call'],
      renew: address => {
        this.pools.delete(address);
      },
    };
    return client as PeerCallClient;
  }

  private takeConnection(
    address: string,
    method: ControlMethod,
  ): PooledConnection {
    const pool = this.poolOf(address);
    const idle = pool.find(connection => connection.method === undefined);
    const connection = idle ?? {isSilent: false, isClosed: false};
    if (idle === undefined) pool.push(connection);
    connection.method = method;
    return connection;
  }

  private closeConnection(address: string, connection: PooledConnection): void {
    connection.isClosed = true;
    const pool = this.poolOf(address).filter(one => one !== connection);
    this.pools.set(address, pool);
  }

  /** Never resolves if the message or its reply is lost. */
  private async exchange(
    address: string,
    method: ControlMethod,
    message: unknown,
    connection: PooledConnection,
  ): Promise<unknown> {
    const {delayMilliseconds} = this.options;
    const process = this.processes.find(one => one.address === address);
    await sleep(this.clock, delayMilliseconds());
    if (process === undefined || connection.isSilent) return neverResolve();
    await this.waitUntilResumed(process);
    const reply =
      method === 'watch'
        ? await this.watch(process, message as WatchRequest)
        : this.report(process, message as UsageReport);
    const isUpdate = (reply as WatchReply).kind === 'update';
    const extra = isUpdate ? this.updateDelayMilliseconds : 0;
    await sleep(this.clock, delayMilliseconds() + extra);
    const isLost = connection.isSilent || connection.isClosed;
    return isLost || this.lostReplies.has(method) ? neverResolve() : reply;
  }

  private async waitUntilResumed(process: ControlProcess): Promise<void> {
    if (process.frozenAt === undefined) return;
    await new Promise<void>(resolve => process.resumers.push(resolve));
  }

  /** Returns the process that knows the newest leader. */
  private newest(): ControlProcess {
    const term = Math.max(...this.processes.map(one => one.term));
    return this.processes.find(one => one.term === term)!;
  }

  private hintOf({leader}: ControlProcess): LeaderHint {
    const replicas = this.processes.map(({address}) => address);
    return {kind: 'notLeader', leader, replicas};
  }

  /** View of a leader that a majority has confirmed, if it still has one. */
  private viewOf(process: ControlProcess, receivedAt: number): LeaderView {
    const {term, epoch, configuration} = process;
    const {confirmedUntil = this.clock.now()} = process;
    return {
      term,
      configurationVersion: configuration.version,
      epoch,
      revision: 1,
      departureRevision: 0,
      confirmedMilliseconds: Math.floor(confirmedUntil - receivedAt),
    };
  }

  private async watch(
    process: ControlProcess,
    request: WatchRequest,
  ): Promise<WatchReply> {
    if (process.leader !== process.address) return this.hintOf(process);
    const receivedAt = this.clock.now();
    const {waitMilliseconds = this.options.watchMilliseconds} = request;
    const isCurrent = () =>
      request.configurationVersion >= process.configuration.version &&
      request.epoch === process.epoch;
    if (isCurrent()) {
      await new Promise<void>(resolve => {
        process.waiters.push(resolve);
        this.clock.setTimer(waitMilliseconds, resolve);
      });
    }
    await this.waitUntilResumed(process);
    if (process.leader !== process.address) return this.hintOf(process);
    const {configuration, epoch} = process;
    const isOutdated = request.configurationVersion < configuration.version;
    return {
      kind: 'update',
      view: this.viewOf(process, receivedAt),
      replicas: this.processes.map(({address}) => address),
      routers: 1,
      peersRevision: 1,
      ...(request.epoch !== epoch && {
        directory: {epoch, revision: 1, records: []},
      }),
      ...(isOutdated && {
        configuration: changesBetween(undefined, configuration),
      }),
    };
  }

  private report(process: ControlProcess, report: UsageReport): UsageReply {
    if (process.leader !== process.address) return this.hintOf(process);
    const {reportedAt = 0} = report;
    const view = this.viewOf(process, this.clock.now());
    return {kind: 'grants', reportedAt, isOver: false, view, offers: []};
  }
}

function neverResolve(): Promise<never> {
  return new Promise(() => undefined);
}
