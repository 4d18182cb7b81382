/**
 * @fileoverview Calls to other processes of the fleet: JSON over HTTP.
 *
 * Every call has a time limit. A call that exceeds it closes its connection,
 * so a connection that went silent is never used again.
 */
import {Pool} from 'undici';

import {openSocket} from './openSocket.js';

/** A call without a usable reply; it may or may not have been handled. */
export class PeerCallError extends Error {
  override name = 'PeerCallError';
}

/** Limits of one call. */
export interface CallOptions {
  timeoutMilliseconds: number;
}

/** Limits of the connections. */
export interface PeerCallClientOptions {
  /** Connections to one address; one call uses one at a time. */
  connectionsPerAddress: number;
  connectTimeoutMilliseconds: number;
  /** Addresses whose connections are kept open while no call uses them. */
  maxAddresses: number;
  /** Address that calls come from; chosen by the system where it is missing. */
  localAddress?: string;
}

/** Sized for a call that waits, consensus messages and short calls. */
const defaultOptions: PeerCallClientOptions = {
  connectionsPerAddress: 6,
  // Several round trips between failure domains a few milliseconds apart.
  connectTimeoutMilliseconds: 400,
  // Routers that lend to each other, in a fleet of hundreds.
  maxAddresses: 256,
};

/** Connections to one address. */
interface Peer {
  pool: Pool;
  /** Calls that have no reply yet. */
  calls: number;
}

/** Client side of the calls between processes. */
export class PeerCallClient {
  private readonly options: PeerCallClientOptions;
  /** By address, the one that was called longest ago in front. */
  private readonly peers = new Map<string, Peer>();

  constructor(options: Partial<PeerCallClientOptions> = {}) {
    this.options = {...defaultOptions, ...options};
  }

  /** Addresses with connections that may be used again. */
  get openAddresses(): string[] {
    return [...this.peers.keys()];
  }

  /** Calls a method at an address, `host:port`, and returns its JSON reply. */
  async call<T>(
    address: string,
    method: string,
    message: unknown,
    {timeoutMilliseconds}: CallOptions,
  ): Promise<T> {
    const peer = this.peerOf(address);
    peer.calls++;
    try {
      const response = await peer.pool.request({
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
      throw new PeerCallError(`${method} at ${address}: ${String(cause)}`, {
        cause,
      });
    } finally {
      peer.calls--;
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    const peers = [...this.peers.values()];
    this.peers.clear();
    await Promise.all(peers.map(({pool}) => pool.destroy()));
  }

  private peerOf(address: string): Peer {
    const known = this.peers.get(address);
    if (known !== undefined) {
      this.peers.delete(address);
      this.peers.set(address, known);
      return known;
    }
    this.dropIdle();
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
    const peer = {pool, calls: 0};
    this.peers.set(address, peer);
    return peer;
  }

  /** Closes the connections that were used longest ago, if no call uses them. */
  private dropIdle(): void {
    if (this.peers.size < this.options.maxAddresses) return;
    const idle = [...this.peers].find(([, {calls}]) => calls === 0);
    if (idle === undefined) return;
    const [address, {pool}] = idle;
    this.peers.delete(address);
    void pool.destroy();
  }
}
