/**
 * @fileoverview Tells whether this router reaches any server of a service, so that
 * callers go elsewhere while it was partitioned from all of them.
 *
 * Silence alone shows nothing: servers may be slow, and there may be no requests. So
 * the router probes a few servers of a service by connections once no byte has come
 * from any while requests are open, or once connections to several have failed and
 * none was made since. It reaches none if all probes fail.
 */
import {type Clock, type Logger, openSocket} from '@dogwoodtrestle/runtime';

import {type ConnectOutcome} from './connectionCounter.js';
import {type PooledServer} from './pooledServer.js';

/** Interval at which the state is checked. */
const checkMilliseconds = 250;

/** Silence of all servers after which they are probed. */
const silenceMilliseconds = 750;

/** Time for which a failed connection counts. */
const failureMilliseconds = 2_000;

/** Fewest servers whose connections must have failed, or be probed. */
const minServers = 2;

/** Servers probed at a time. */
const probedServers = 3;

/** Least time between two rounds of probes of a service. */
const probeIntervalMilliseconds = 500;

/** Time within which a probe must be connected. */
const probeMilliseconds = 750;

/** Options of the reach. */
export interface ServerReachOptions {
  clock: Clock;
  logger: Logger;
  random: () => number;
  /** Returns the servers that may get requests by their state. */
  servers: () => PooledServer[];
  /** Resolves with whether a connection to an address could be made. */
  probe: (address: string) => Promise<boolean>;
}

/** Whether this router reaches servers. */
export class ServerReach {
  private readonly services = new Map<string, ServiceReach>();
  private cancelCheck?: () => void;

  constructor(private readonly options: ServerReachOptions) {}

  /** Whether no server of any service can be connected to. */
  get isLost(): boolean {
    return this.lostMilliseconds > 0;
  }

  /** Time since no server can be connected to, in milliseconds; 0 if one can. */
  get lostMilliseconds(): number {
    const times = [...this.services.values()].map(
      service => service.lostMilliseconds,
    );
    return times.length > 0 ? Math.min(...times) : 0;
  }

  /** Whether no server of a service can be connected to. */
  isLostTo(service: string): boolean {
    return this.services.get(service)?.isLost === true;
  }

  /**
   * Whether a request may be sent to a server: to any of a service whose servers are
   * reached, else to those that have just sent a byte over an open connection.
   */
  mayReach({record, lastByteAt}: PooledServer, now: number): boolean {
    const isHeard = now - lastByteAt < silenceMilliseconds;
    return isHeard || !this.isLostTo(record.service);
  }

  /** Whether besides no byte of a service's servers comes. */
  isMuteTo(service: string): boolean {
    return this.services.get(service)?.isMute === true;
  }

  /** Starts to check the state at an interval. */
  start(): void {
    const {clock} = this.options;
    this.cancelCheck = clock.setTimer(checkMilliseconds, () => {
      this.check();
      this.start();
    });
  }

  stop(): void {
    this.cancelCheck?.();
  }

  /** Records the end of an attempt to connect to a server of a service. */
  recordConnection(
    service: string,
    address: string,
    outcome: ConnectOutcome,
  ): void {
    this.services.get(service)?.recordConnection(address, outcome);
  }

  private check(): void {
    const servers = new Map<string, PooledServer[]>();
    for (const server of this.options.servers()) {
      const {service} = server.record;
      const others = servers.get(service);
      if (others === undefined) servers.set(service, [server]);
      else others.push(server);
    }
    // Services without requests show nothing by themselves.
    const isSuspected = [...this.services.values()].some(({isLost}) => isLost);
    for (const [service, ofService] of servers) {
      // Of one server alone it can't be told which side was cut off.
      if (ofService.length < minServers) this.services.delete(service);
      else this.reachOf(service).check(ofService, {isSuspected});
    }
    for (const service of this.services.keys()) {
      if (!servers.has(service)) this.services.delete(service);
    }
  }

  private reachOf(service: string): ServiceReach {
    let reach = this.services.get(service);
    if (reach === undefined) {
      reach = new ServiceReach(service, this.options);
      this.services.set(service, reach);
    }
    return reach;
  }
}

/** Whether the servers of one service are reached. Times are monotonic. */
class ServiceReach {
  private lostAt?: number;
  private isSilent = false;
  private isProbing = false;
  private probedAt = -Infinity;
  private madeAt = -Infinity;
  /** When connections failed, by address; none that was made came later. */
  private readonly failedAt = new Map<string, number>();

  constructor(
    private readonly service: string,
    private readonly options: Omit<ServerReachOptions, 'servers'>,
  ) {}

  get isLost(): boolean {
    return this.lostAt !== undefined;
  }

  get isMute(): boolean {
    return this.isLost && this.isSilent;
  }

  get lostMilliseconds(): number {
    const {lostAt, options} = this;
    return lostAt === undefined ? 0 : options.clock.now() - lostAt;
  }

  recordConnection(address: string, outcome: ConnectOutcome): void {
    const now = this.options.clock.now();
    if (outcome === 'missing') {
      this.failedAt.set(address, now);
      return;
    }
    this.madeAt = now;
    this.failedAt.clear();
  }

  /**
   * Probes servers if none seems to be reached, or none is.
   *
   * @param options Whether another service's servers aren't reached.
   */
  check(
    servers: readonly PooledServer[],
    {isSuspected}: {isSuspected: boolean},
  ): void {
    const now = this.options.clock.now();
    const lastByteAt = Math.max(
      this.madeAt,
      ...servers.map(server => server.lastByteAt),
    );
    const isWaiting = servers.some(
      ({openRequests, connections}) =>
        openRequests > 0 || connections.hasOnlyLate,
    );
    const hasNoBytes = now - lastByteAt >= silenceMilliseconds;
    this.isSilent = hasNoBytes && (isWaiting || this.isSilent);
    for (const [address, at] of this.failedAt) {
      if (now - at > failureMilliseconds) this.failedAt.delete(address);
    }
    const hasFailed = this.isSilent || this.failedAt.size >= minServers;
    const isDue = now - this.probedAt >= probeIntervalMilliseconds;
    if (isDue && (hasFailed || isSuspected)) void this.probe(servers);
  }

  /** Probes some servers, and changes the state by the result. */
  private async probe(servers: readonly PooledServer[]): Promise<void> {
    if (this.isProbing) return;
    this.isProbing = true;
    const {random, probe, clock} = this.options;
    this.probedAt = clock.now();
    const rest = [...servers];
    const probed: string[] = [];
    while (probed.length < probedServers && rest.length > 0) {
      const [server] = rest.splice(Math.floor(random() * rest.length), 1);
      if (server !== undefined) probed.push(server.record.address);
    }
    const results = await Promise.all(probed.map(probe));
    this.isProbing = false;
    if (results.includes(true)) this.markReached();
    else this.markLost(servers, probed);
  }

  private markReached(): void {
    const {service, lostMilliseconds} = this;
    const {clock, logger} = this.options;
    this.madeAt = clock.now();
    this.isSilent = false;
    this.failedAt.clear();
    if (this.lostAt === undefined) return;
    this.lostAt = undefined;
    const milliseconds = Math.round(lostMilliseconds);
    logger.info({service, milliseconds}, 'backend servers are reached');
  }

  private markLost(
    servers: readonly PooledServer[],
    probed: readonly string[],
  ): void {
    const {service, isSilent} = this;
    const {clock, logger} = this.options;
    if (isSilent) {
      // Requests on open connections would wait for their whole deadline.
      for (const {connections} of servers) connections.closeIdle();
    }
    if (this.lostAt !== undefined) return;
    this.lostAt = clock.now();
    logger.warn({service, probed, isSilent}, 'no backend server is reached');
  }
}

/** Resolves with whether a connection to an address could be made in time. */
export function probeConnection(address: string): Promise<boolean> {
  return new Promise(resolve => {
    const options = {timeoutMilliseconds: probeMilliseconds};
    openSocket(address, options, (error, socket) => {
      socket?.destroy();
      resolve(error === null);
    });
  });
}
