/**
 * @fileoverview HTTP server of the peer API for authenticated instances.
 */
import {
  fastifyTRPCPlugin,
  type FastifyTRPCPluginOptions,
} from '@trpc/server/adapters/fastify';
import {fastify, type FastifyInstance, type FastifyRequest} from 'fastify';

import {callIdHeader, type Clock, systemClock} from '@dogwoodtrestle/runtime';
import {type Logger, silentLogger} from '@dogwoodtrestle/runtime';
import {type Metrics, silentMetrics} from '../util/metrics.js';
import {limitBodies, recordLimitsOf} from '../bodyLimits.js';
import {type PeerApi} from './peerApi.js';
import {
  peerHeader,
  type PeerCredentials,
  verifyCall,
} from './peerAuthentication.js';

/** Path prefix of the API. */
export const peerPrefix = '/peer';

const maximumBodyBytes = 64 * 1024 * 1024; // a snapshot is sent in one call
/** Bytes of all calls that are being read. */
const maximumTotalBytes = 96 * 1024 * 1024;

const keepAliveMilliseconds = 75_000;

/** Dependencies and settings of a peer server. */
export interface PeerServerOptions {
  api: PeerApi;
  credentials: PeerCredentials;
  /** IP address to listen on. */
  address: string;
  /** Port to listen on; 0 lets the system choose one. */
  port: number;
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
}

const defaultOptions = {
  clock: systemClock,
  logger: silentLogger,
  metrics: silentMetrics,
};

/** HTTP server of the peer API. */
export class PeerServer {
  private readonly options: Required<PeerServerOptions>;
  private readonly server: FastifyInstance;
  private readonly callers = new WeakMap<FastifyRequest['raw'], string>();

  constructor(options: PeerServerOptions) {
    this.options = {...defaultOptions, ...options};
    this.server = fastify({
      bodyLimit: maximumBodyBytes,
      keepAliveTimeout: keepAliveMilliseconds,
      forceCloseConnections: true,
    });
    limitBodies(this.server, {
      maxBytes: maximumBodyBytes,
      maxTotalBytes: maximumTotalBytes,
      onLimit: recordLimitsOf('instances', this.options),
    });
    this.addCallIds();
    this.addAuthentication();
    this.addApi();
  }

  /** Starts listening. Rejects with the system's error if that fails. */
  async start(): Promise<void> {
    const {address, port} = this.options;
    await this.server.listen({host: address, port});
  }

  /** Listening port, which differs from the option only if that is 0. */
  get port(): number {
    const address = this.server.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    await this.server.close();
  }

  /** Returns the id of a call with its reply. */
  private addCallIds(): void {
    this.server.addHook('onRequest', async ({headers}, reply) => {
      const callId = headers[callIdHeader];
      if (callId !== undefined) reply.header(callIdHeader, callId);
    });
  }

  private addAuthentication(): void {
    const {credentials, clock, logger, metrics} = this.options;
    this.server.addHook('preHandler', async (request, reply) => {
      const body = typeof request.body === 'string' ? request.body : '';
      const verification = verifyCall(
        credentials,
        request.headers[peerHeader],
        {path: request.url, body, time: clock.wallNow()},
      );
      if (verification.kind === 'verified') {
        this.callers.set(request.raw, verification.instance);
        return;
      }
      const {code, message} = verification;
      metrics.increment('peer.rejected', 1, {code});
      logger.warn({code, remote: request.ip}, `peer call rejected: ${message}`);
      await reply.code(401).send({error: {code, message}});
    });
  }

  private addApi(): void {
    const {api, logger} = this.options;
    const trpcOptions: FastifyTRPCPluginOptions<PeerApi>['trpcOptions'] = {
      router: api,
      createContext: ({req}) => ({
        instance: this.callers.get(req.raw) ?? '',
      }),
      onError: ({error, path}) => {
        logger.debug({err: error, path}, 'peer call failed');
      },
    };
    void this.server.register(fastifyTRPCPlugin, {
      prefix: peerPrefix,
      trpcOptions,
    });
  }
}
