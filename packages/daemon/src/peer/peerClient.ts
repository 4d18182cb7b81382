/**
 * @fileoverview Client of the peer API of other instances.
 */
import {
  createTRPCClient,
  httpLink,
  TRPCClientError,
  type TRPCClient,
} from '@trpc/client';
import {Agent} from 'undici';

import {
  type Clock,
  maxMessageBytes,
  systemClock,
} from '@dogwoodtrestle/runtime';
import {type Metrics, silentMetrics} from '../util/metrics.js';
import {createConnector} from '../requests/backendSocket.js';
import {type PeerApi} from './peerApi.js';
import {type PeerCredentials} from './peerAuthentication.js';
import {
  PeerFailedError,
  PeerRejectedError,
  PeerUnreachableError,
} from './peerErrors.js';
import {peerPrefix} from './peerServer.js';
import {createPeerFetch} from './peerTransport.js';

/** Typed tRPC client of one instance. */
export type PeerApiClient = TRPCClient<PeerApi>;

/** Options that each call passes to tRPC. */
export interface PeerCallOptions {
  signal: AbortSignal;
}

/** Dependencies and settings of a peer client. */
export interface PeerClientOptions {
  credentials: PeerCredentials;
  /** Local address of connections; chosen by the system by default. */
  localAddress?: string;
  clock?: Clock;
  metrics?: Metrics;
  connectTimeoutMilliseconds?: number;
  /** Largest number of connections to one instance. */
  connectionsPerInstance?: number;
}

const defaultOptions = {
  clock: systemClock,
  metrics: silentMetrics,
  connectTimeoutMilliseconds: 1000,
  connectionsPerInstance: 16,
};

const keepAliveMilliseconds = 60_000;

/** Codes of errors that occur before undici sends a request. */
const notSentCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Client for all instances, with keep-alive connections. */
export class PeerClient {
  private readonly agent: Agent;
  private readonly fetch: ReturnType<typeof createPeerFetch>;
  private readonly clients = new Map<string, PeerApiClient>();

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
      connect: createConnector({
        timeoutMilliseconds: connectTimeoutMilliseconds,
      }),
      localAddress,
      connections: connectionsPerInstance,
      keepAliveTimeout: keepAliveMilliseconds,
      pipelining: 1,
      maxResponseSize: maxMessageBytes,
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
   * @param timeoutMilliseconds Timeout of the whole call.
   * @param run Makes the call with the given client and options.
   * @throws PeerUnreachableError if no response arrives in time,
   *     PeerRejectedError if the peer rejects the credentials or the clock, or
   *     PeerFailedError if the call fails otherwise.
   */
  async call<T>(
    address: string,
    timeoutMilliseconds: number,
    run: (calls: PeerApiClient, options: PeerCallOptions) => Promise<T>,
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

  private clientOf(address: string): PeerApiClient {
    const known = this.clients.get(address);
    if (known !== undefined) return known;
    const client = createTRPCClient<PeerApi>({
      links: [
        // Not batched: a consensus message must not wait for other calls.
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
    return new PeerFailedError(
      `${address} responded with an error: ${error.message}`,
    );
  }
  const code = (cause as {code?: string} | undefined)?.code ?? '';
  return new PeerUnreachableError(
    `${address} can't be reached: ${error.message}`,
    {
      props: {maybeReceived: !notSentCodes.has(code)},
    },
  );
}
