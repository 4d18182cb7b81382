/**
 * @fileoverview Requests that wait for a connection to a server of their service.
 */
import {type Clock, type Histogram, type Logger} from '@dogwoodtrestle/runtime';

import {
  ConnectionShares,
  type ConnectionSharesOptions,
} from './connectionShares.js';
import {
  type RoomListener,
  type RoomTest,
  RoomWaits,
  type WaitTerms,
} from './roomWaits.js';
import {hasVersion, type PooledServer, type ServerPool} from './serverPool.js';

/** Options of the waits. */
export interface ConnectionWaitsOptions {
  clock: Clock;
  logger: Logger;
  pool: ServerPool;
  shares: ConnectionShares;
  /** Times of waits, by kind and outcome. */
  waits: Histogram;
}

const noServers: ReadonlySet<string> = new Set();

/** Waits by service. */
export class ConnectionWaits {
  private readonly waits = new Map<string, RoomWaits>();

  constructor(private readonly options: ConnectionWaitsOptions) {}

  /** Whether a connection to a server of a service is due to a waiting request. */
  isClaimed(service: string): boolean {
    return this.waits.get(service)?.isDue === true;
  }

  /** Waits for a connection; see `RoomWaits.enter`. */
  enter(service: string, terms: WaitTerms, listener: RoomListener): () => void {
    const waits = this.waitsOf(service);
    this.options.shares.recordShortage(service, waits.size);
    const leave = waits.enter(terms, listener);
    this.dispatchSoon(service);
    return leave;
  }

  /** Starts requests of a service after what has just freed a connection. */
  dispatchSoon(service: string): void {
    const waits = this.waits.get(service);
    if (waits === undefined || waits.size === 0) return;
    queueMicrotask(() => waits.dispatch());
  }

  /** Starts requests of all services, as limits or servers have changed. */
  dispatchAll(): void {
    for (const service of this.waits.keys()) this.dispatchSoon(service);
  }

  private waitsOf(service: string): RoomWaits {
    let waits = this.waits.get(service);
    if (waits === undefined) {
      const {clock, logger, waits: histogram} = this.options;
      waits = new RoomWaits({
        clock,
        logger,
        kind: 'connection',
        findRoom: () => this.findRoom(service),
        waits: histogram,
      });
      this.waits.set(service, waits);
    }
    return waits;
  }

  private findRoom(service: string): RoomTest | undefined {
    const {clock, pool, shares} = this.options;
    const limits = shares.limitsOf(service);
    const now = clock.now();
    const free = pool
      .candidates(service, noServers, limits, now)
      .filter(({limit}) => limit.admits(now));
    if (free.length === 0) return undefined;
    const freeByVersion = new Map<string | undefined, PooledServer[]>();
    return ({softwareVersion, tried}) => {
      let servers = freeByVersion.get(softwareVersion);
      if (servers === undefined) {
        servers = free.filter(server => hasVersion(server, softwareVersion));
        freeByVersion.set(softwareVersion, servers);
      }
      return servers.some(({record}) => tried?.has(record.id) !== true);
    };
  }
}

/** Connections that a router may open, and the requests that wait for one. */
export interface ConnectionRoom {
  connections: ConnectionShares;
  connectionWaits: ConnectionWaits;
}

/** Creates both parts. */
export function createConnectionRoom({
  pool,
  waits,
  ...options
}: Omit<ConnectionSharesOptions, 'servers' | 'onLeases'> &
  Pick<ConnectionWaitsOptions, 'pool' | 'waits'>): ConnectionRoom {
  const connections: ConnectionShares = new ConnectionShares({
    ...options,
    servers: pool,
    onLeases: () => connectionWaits.dispatchAll(),
  });
  const connectionWaits = new ConnectionWaits({
    clock: options.clock,
    logger: options.logger,
    pool,
    shares: connections,
    waits,
  });
  return {connections, connectionWaits};
}
