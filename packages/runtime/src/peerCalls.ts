/**
 * @fileoverview Calls to other processes of the fleet: JSON over HTTP.
 *
 * Every call has a time limit. A call that exceeds it closes its connection,
 * so a connection that went silent is never used again.
 */
import {Pool} from 'undici';

import {openSocket} from './openSocket.js';

/** A call without a usable reply; it may or may not have been handled. */
export class PeerCallFailed extends Error {
  override name = 'PeerCallFailed';
}

/** Limits of one call. */
export interface CallOptions {
  timeoutMilliseconds: number;
}

/** Limits of the connections. */
export interface PeerCallsOptions {
  /** Connections to one address; one call uses one at a time. */
  connectionsPerAddress: number;
  connectTimeoutMilliseconds: number;
  /** Addresses whose connections are kept open. */
  maxAddresses: number;
  /** Address that calls come from; chosen by the system where it is missing. */
  localAddress?: string;
}

/** Sized for a call that waits, consensus messages and short calls. */
const defaultOptions: PeerCallsOptions = {
  connectionsPerAddress: 6,
  // Several round trips between failure domains a few milliseconds apart.
  connectTimeoutMilliseconds: 400,
  maxAddresses: 64,
};

/** Client side of the calls between processes. */
export class PeerCalls {
  private readonly options: PeerCallsOptions;
  private readonly pools = new Map<string, Pool>();

  constructor(options: Partial<PeerCallsOptions> = {}) {
    this.options = {...defaultOptions, ...options};
  }

  /** Calls a method at an address, `host:port`, and returns its JSON reply. */
  async call<T>(
    address: string,
    method: string,
    message: unknown,
    {timeoutMilliseconds}: CallOptions,
  ): Promise<T> {
    try {
      const response = await this.poolOf(address).request({
        method: 'POST',
        path: `/${method}`,
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(message),
        signal: AbortSignal.timeout(timeoutMilliseconds),
      });
      const text = await response.body.text();
      if (response.statusCode !== 200) {
        throw new Error(`status ${response.statusCode}: ${text.slice(0, 200)}`);
      }
      return JSON.parse(text) as T;
    } catch (cause) {
      throw new PeerCallFailed(`${method} at ${address}: ${String(cause)}`, {
        cause,
      });
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  private poolOf(address: string): Pool {
    const known = this.pools.get(address);
    if (known !== undefined) return known;
    this.dropOldest();
    const {connectionsPerAddress, connectTimeoutMilliseconds, localAddress} =
      this.options;
    const bounds = {
      timeoutMilliseconds: connectTimeoutMilliseconds,
      localAddress,
    };
    const pool = new Pool(`http://${address}`, {
      connections: connectionsPerAddress,
      pipelining: 1,
      connect: (_, callback) => {
        openSocket(address, bounds, callback);
      },
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 30_000,
    });
    this.pools.set(address, pool);
    return pool;
  }

  private dropOldest(): void {
    if (this.pools.size < this.options.maxAddresses) return;
    const [oldest] = this.pools;
    if (oldest === undefined) return;
    this.pools.delete(oldest[0]);
    void oldest[1].destroy();
  }
}
