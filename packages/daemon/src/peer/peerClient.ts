/**
 * @fileoverview Calls the peer API of other instances.
 */
import {
  createTRPCClient,
  httpLink,
  TRPCClientError,
  type TRPCClient,
} from '@trpc/client';
import {Agent} from 'undici';

import {type Clock, systemClock} from '@dogwoodtrestle/runtime';
import {type Metrics, silentMetrics} from '../util/metrics.js';
import {type PeerApi} from './peerApi.js';
import {type PeerCredentials} from './peerAuthentication.js';
import {
  PeerFailedError,
  PeerRejectedError,
  PeerUnreachableError,
} from './peerErrors.js';
import {peerPrefix} from './peerServer.js';
import {createPeerFetch} from './peerTransport.js';

/** Typed client of one instance. */
export type PeerCalls = TRPCClient<PeerApi>;

/** Per-call options that a caller passes on to tRPC. */
export interface PeerCallOptions {
  signal: AbortSignal;
}

/** What a peer client needs. */
export interface PeerClientOptions {
  credentials: PeerCredentials;
  /** Address that connections come from; the system's choice by default. */
  localAddress?: string;
  clock?: Clock;
  metrics?: Metrics;
  connectTimeoutMilliseconds?: number;
  /** Connections kept open to one instance. */
  connectionsPerInstance?: number;
}

const defaultOptions = {
  clock: systemClock,
  metrics: silentMetrics,
  connectTimeoutMilliseconds: 1000,
  connectionsPerInstance: 16,
};

const keepAliveMilliseconds = 60_000;

/** Errors that undici reports before a request has left. */
const notSentCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Client for all instances, with kept-alive connections. */
export class PeerClient {
  private readonly agent: Agent;
  private readonly fetch: ReturnType<typeof createPeerFetch>;
  private readonly clients = new Map<string, PeerCalls>();

  constructor(options: PeerClientOptions) {
    const {
      credentials,
      clock,
      metrics,
      localAddress,
      connectTimeoutMilliseconds,
      connectionsPerInstance,
    } = {...defaultOptions, ...options};
    this.agent = new Agent({
      connect: {timeout: connectTimeoutMilliseconds},
      localAddress,
      connections: connectionsPerInstance,
      keepAliveTimeout: keepAliveMilliseconds,
      pipelining: 1,
    });
    this.fetch = createPeerFetch({
      credentials,
      dispatcher: this.agent,
      clock,
      metrics,
    });
  }

  /**
   * Makes one call.
   *
   * @param address Peer address (host:port).
   * @param timeoutMilliseconds Bound of the whole call.
   * @param run Makes the call with the given client and options.
   * @throws PeerUnreachableError, PeerRejectedError or PeerFailedError.
   */
  async call<T>(
    address: string,
    timeoutMilliseconds: number,
    run: (calls: PeerCalls, options: PeerCallOptions) => Promise<T>,
  ): Promise<T> {
    const signal = AbortSignal.timeout(Math.ceil(timeoutMilliseconds));
    try {
      return await run(this.clientOf(address), {signal});
    } catch (error) {
      throw translateError(address, error);
    }
  }

  /** Closes all connections. */
  async stop(): Promise<void> {
    await this.agent.destroy();
  }

  private clientOf(address: string): PeerCalls {
    const known = this.clients.get(address);
    if (known !== undefined) return known;
    const client = createTRPCClient<PeerApi>({
      links: [
        // Unbatched, so that a consensus message never waits for another call.
        httpLink({
          url: `http://${address}${peerPrefix}`,
          fetch: this.fetch,
        }),
      ],
    });
    this.clients.set(address, client);
    return client;
  }
}

function translateError(address: string, error: unknown): Error {
  if (!(error instanceof TRPCClientError)) {
    return new PeerFailedError(`call to ${address} failed`, {cause: error});
  }
  const cause: unknown = error.cause;
  if (cause instanceof PeerRejectedError) return cause;
  if (error.data !== undefined && error.data !== null) {
    return new PeerFailedError(`${address} answered: ${error.message}`);
  }
  const code = (cause as {code?: string} | undefined)?.code ?? '';
  return new PeerUnreachableError(
    `${address} can't be reached: ${error.message}`,
    {
      props: {maybeReceived: !notSentCodes.has(code)},
    },
  );
}
