/**
 * @fileoverview Tells whether this router reaches any backend server, so that callers
 * go elsewhere while it was partitioned from all of them.
 *
 * Silence alone shows nothing: servers may be slow, and there may be no requests. So
 * the router probes a few servers by connections once no byte has come from any
 * while requests are open, or once connections to several servers have failed and
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

/** Whether this router reaches servers. Times are monotonic milliseconds. */
export class ServerReach {
  private lostAt?: number;
  private isSilent = false;
  private isProbing = false;
  private cancelCheck?: () => void;
  private madeAt = -Infinity;
  /** When connections failed, by address; none that was made came later. */
  private readonly failedAt = new Map<string, number>();

  constructor(private readonly options: ServerReachOptions) {}

  /** Whether no server can be connected to. */
  get isLost(): boolean {
    return this.lostAt !== undefined;
  }

  /** Whether moreover no byte comes over open connections. */
  get isMute(): boolean {
    return this.isLost && this.isSilent;
  }

  /** Time since no server can be connected to, in milliseconds; 0 if one can. */
  get lostMilliseconds(): number {
    const {lostAt, options} = this;
    return lostAt === undefined ? 0 : options.clock.now() - lostAt;
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

  /** Records the end of an attempt to connect. */
  recordConnection(address: string, outcome: ConnectOutcome): void {
    const now = this.options.clock.now();
    if (outcome === 'missing') {
      this.failedAt.set(address, now);
      return;
    }
    this.madeAt = now;
    this.failedAt.clear();
  }

  private check(): void {
    const {clock, servers} = this.options;
    const now = clock.now();
    const eligible = servers();
    const lastByteAt = Math.max(
      this.madeAt,
      ...eligible.map(server => server.lastByteAt),
    );
    const waiting = eligible.filter(
      server => server.openRequests > 0 || server.connections.hasOnlyLate,
    );
    const isSilent = now - lastByteAt >= silenceMilliseconds;
    this.isSilent = isSilent && (waiting.length > 0 || this.isSilent);
    for (const [address, at] of this.failedAt) {
      if (now - at > failureMilliseconds) this.failedAt.delete(address);
    }
    const isSuspected = this.isSilent || this.failedAt.size >= minServers;
    if (isSuspected || this.isLost) void this.probe(eligible);
  }

  /** Probes some servers, and changes the state by the result. */
  private async probe(eligible: readonly PooledServer[]): Promise<void> {
    if (this.isProbing || eligible.length < minServers) return;
    this.isProbing = true;
    const {random, probe} = this.options;
    const rest = [...eligible];
    const probed: string[] = [];
    while (probed.length < probedServers && rest.length > 0) {
      const [server] = rest.splice(Math.floor(random() * rest.length), 1);
      if (server !== undefined) probed.push(server.record.address);
    }
    const results = await Promise.all(probed.map(probe));
    this.isProbing = false;
    if (results.includes(true)) this.markReached();
    else this.markLost(probed);
  }

  private markReached(): void {
    const {clock, logger} = this.options;
    this.madeAt = clock.now();
    this.isSilent = false;
    this.failedAt.clear();
    if (this.lostAt === undefined) return;
    const milliseconds = Math.round(this.lostMilliseconds);
    this.lostAt = undefined;
    logger.info({milliseconds}, 'backend servers are reached');
  }

  private markLost(probed: readonly string[]): void {
    const {clock, logger, servers} = this.options;
    if (this.isSilent) {
      // Requests on open connections would wait for their whole deadline.
      for (const {connections} of servers()) connections.closeIdle();
    }
    if (this.lostAt !== undefined) return;
    this.lostAt = clock.now();
    const {isSilent} = this;
    logger.warn({probed, isSilent}, 'no backend server is reached');
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
