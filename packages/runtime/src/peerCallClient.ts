/**
 * @fileoverview Client of calls to other processes of the fleet: JSON over
 * HTTP.
 *
 * Every call has a timeout. A call that exceeds it closes its connection, so
 * an unresponsive connection is not reused. Every call has an id, which its reply
 * has as well: a reply that a peer sends once more is that of no other call.
 */
import {Pool} from 'undici';

import {callIdHeader} from './callId.js';
import {
  compressedEncoding,
  decodeMessage,
  encodeMessage,
} from './messageEncoding.js';
import {openSocketInAttempts} from './openSocketInAttempts.js';
import {maxMessageBytes, readMessage} from './readMessage.js';
import {maxOverheadBytes, ResponseOverhead} from './responseOverhead.js';

/** A call failed without a valid reply; the peer may have executed it. */
export class PeerCallError extends Error {
  override name = 'PeerCallError';
}

/** Options of one call. */
export interface CallOptions {
  timeoutMilliseconds: number;
  /** Ends the call before its timeout. */
  signal?: AbortSignal;
}

/** Options of the connection pools. */
export interface PeerCallClientOptions {
  /** Limit of connections per address; each carries one call at a time. */
  connectionsPerAddress: number;
  /** Time for one attempt to connect. */
  connectTimeoutMilliseconds: number;
  /**
   * Attempts to connect. The earlier ones go on beside the next one: on a busy
   * link an attempt takes longer than one to an unreachable peer should.
   */
  connectAttempts: number;
  /** Number of addresses above which idle connections are closed. */
  maxAddresses: number;
  /** Most bytes of a reply. */
  maxReplyBytes: number;
  /** Source address of the calls; chosen by the system if missing. */
  localAddress?: string;
}

/** Enough connections for one long poll, consensus messages and short calls. */
const defaultOptions: PeerCallClientOptions = {
  connectionsPerAddress: 6,
  // Several round trips between failure domains a few milliseconds apart.
  connectTimeoutMilliseconds: 400,
  connectAttempts: 1,
  // Routers lend tokens to each other, in fleets of hundreds of routers.
  maxAddresses: 256,
  maxReplyBytes: maxMessageBytes,
};

/** Bytes of a reply with another status that the error has. */
const maxErrorBytes = 200;

/** Connection pool of one address. */
interface PeerConnections {
  pool: Pool;
  /** Number of calls that have no reply yet. */
  pendingCalls: number;
  /** Whether a reply has shown that compressed calls are read there. */
  readsCompressed: boolean;
}

/** Calls methods of other processes over pooled connections. */
export class PeerCallClient {
  private readonly options: PeerCallClientOptions;
  /** By address, in order of use; the least recently used comes first. */
  private readonly peers = new Map<string, PeerConnections>();
  /** Pools that only end their calls in progress. */
  private readonly retiredPools = new Set<Pool>();
  private calls = 0;

  constructor(options: Partial<PeerCallClientOptions> = {}) {
    this.options = {...defaultOptions, ...options};
  }

  /** Addresses that have a connection pool. */
  get openAddresses(): string[] {
    return [...this.peers.keys()];
  }

  /**
   * Calls a method at an address, `host:port`, and returns its JSON reply.
   *
   * @throws PeerCallError without a reply in time, for a status other than 200,
   *     and for a reply that isn't JSON or is that of another call.
   */
  async call<T>(
    address: string,
    method: string,
    message: unknown,
    {timeoutMilliseconds, signal}: CallOptions,
  ): Promise<T> {
    const peer = this.getOrOpenPeer(address);
    peer.pendingCalls++;
    const timeout = AbortSignal.timeout(timeoutMilliseconds);
    const {body, isCompressed} = encodeMessage(message, {
      isCompressible: peer.readsCompressed,
    });
    const callId = (++this.calls).toString(36);
    const encoding = isCompressed && {'content-encoding': compressedEncoding};
    try {
      const response = await peer.pool.request({
        method: 'POST',
        path: `/${method}`,
        headers: {
          'content-type': 'application/json',
          'accept-encoding': compressedEncoding,
          [callIdHeader]: callId,
          ...encoding,
        },
        body,
        signal:
          signal === undefined ? timeout : AbortSignal.any([timeout, signal]),
      });
      const {maxReplyBytes} = this.options;
      const reply = await readMessage(
        response.body as AsyncIterable<Buffer>,
        maxReplyBytes,
      );
      const {statusCode, headers} = response;
      // Processes of earlier versions don't return the id.
      if ((headers[callIdHeader] ?? callId) !== callId) {
        this.renew(address);
        throw new Error('reply to another call');
      }
      if (statusCode !== 200) {
        const text = reply.toString('utf8', 0, maxErrorBytes);
        throw new Error(`status ${statusCode}: ${text}`);
      }
      peer.readsCompressed ||=
        headers['accept-encoding'] === compressedEncoding;
      const replyEncoding = headers['content-encoding']?.toString();
      return decodeMessage(reply, replyEncoding, maxReplyBytes) as T;
    } catch (cause) {
      throw new PeerCallError(`${method} at ${address}: ${String(cause)}`, {
        cause,
      });
    } finally {
      peer.pendingCalls--;
    }
  }

  /**
   * Lets later calls to an address open connections of their own: idle ones may be
   * silent, which only a call shows. Calls in progress go on.
   */
  renew(address: string): void {
    const peer = this.peers.get(address);
    if (peer === undefined) return;
    this.peers.delete(address);
    const {pool} = peer;
    this.retiredPools.add(pool);
    // Resolves once the calls in progress have ended.
    void pool.close().finally(() => this.retiredPools.delete(pool));
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    const pools = [...this.peers.values()].map(({pool}) => pool);
    pools.push(...this.retiredPools);
    this.peers.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  private getOrOpenPeer(address: string): PeerConnections {
    const existing = this.peers.get(address);
    if (existing !== undefined) {
      this.peers.delete(address);
      this.peers.set(address, existing);
      return existing;
    }
    this.closeLeastRecentlyUsed();
    const {connectionsPerAddress, localAddress} = this.options;
    const socketOptions = {
      timeoutMilliseconds: this.options.connectTimeoutMilliseconds,
      attempts: this.options.connectAttempts,
      localAddress,
    };
    // What is body is not told to the socket, so all bytes count.
    const maxReplyReadBytes = 2 * this.options.maxReplyBytes + maxOverheadBytes;
    const pool = new Pool(`http://${address}`, {
      connections: connectionsPerAddress,
      pipelining: 1,
      connect: (_, callback) => {
        openSocketInAttempts(address, socketOptions, (...outcome) => {
          outcome[1]?.limitOverhead(new ResponseOverhead(maxReplyReadBytes));
          callback(...outcome);
        });
      },
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 30_000,
    });
    const peer = {pool, pendingCalls: 0, readsCompressed: false};
    this.peers.set(address, peer);
    return peer;
  }

  /** Closes the least recently used idle pool once the limit is reached. */
  private closeLeastRecentlyUsed(): void {
    if (this.peers.size < this.options.maxAddresses) return;
    const idle = [...this.peers].find(
      ([, {pendingCalls}]) => pendingCalls === 0,
    );
    if (idle === undefined) return;
    const [address, {pool}] = idle;
    this.peers.delete(address);
    void pool.destroy();
  }
}
