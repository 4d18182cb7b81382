/**
 * @fileoverview The HTTP server for callers, backend servers and operators.
 */
import {type Socket} from 'node:net';

import {
  followRunningRequests,
  keepUnreadResponses,
  type LimitListener,
} from '@dogwoodtrestle/runtime';
import {type Settings} from '@dogwoodtrestle/schema';
import {fastify, type FastifyInstance} from 'fastify';

import {limitBodies} from './bodyLimits.js';

/** Interval at which the server checks for requests that time out. */
const slowRequestCheckMilliseconds = 500;

/** Time after which an idle connection is closed. */
const keepAliveMilliseconds = 65000;

/** Responses to requests that can't be parsed, by the code of the error. */
const protocolErrorResponses: Record<
  string,
  {status: string; code: string; message: string}
> = {
  ERR_HTTP_REQUEST_TIMEOUT: {
    status: '408 Request Timeout',
    code: 'bodyTimeout',
    message: 'The request did not arrive in time.',
  },
  HPE_HEADER_OVERFLOW: {
    status: '431 Request Header Fields Too Large',
    code: 'headersTooLarge',
    message: 'The headers are larger than allowed.',
  },
};

const malformedRequestResponse = {
  status: '400 Bad Request',
  code: 'malformedRequest',
  message: 'The request is not well-formed HTTP.',
};

/**
 * Creates the server without application routes, which the caller adds.
 *
 * @param onLimit Called when a client meets a limit.
 */
export function createHttpServer(
  settings: Settings,
  onLimit?: LimitListener,
): FastifyInstance {
  const {maximumBodyBytes, bodyMemoryBytes, bodyTimeoutMilliseconds} =
    settings.requests;
  const server = fastify({
    bodyLimit: maximumBodyBytes,
    requestTimeout: bodyTimeoutMilliseconds,
    keepAliveTimeout: keepAliveMilliseconds,
    http: {
      connectionsCheckingInterval: slowRequestCheckMilliseconds,
      insecureHTTPParser: false,
    },
    forceCloseConnections: 'idle',
    return503OnClosing: false,
    clientErrorHandler: (error, socket) => {
      const {code} = error as {code?: string};
      // The answer would be taken for that of the earlier request.
      if (hasRunningRequest(socket)) socket.destroy();
      else sendProtocolError(code, socket);
    },
  });
  const hasRunningRequest = followRunningRequests(server.server);
  keepUnreadResponses(server.server);
  limitBodies(server, {
    maxBytes: maximumBodyBytes,
    maxTotalBytes: bodyMemoryBytes,
    onLimit,
  });
  // Node.js swaps the two timeouts if the one for headers is longer.
  server.server.headersTimeout = bodyTimeoutMilliseconds;
  server.setNotFoundHandler((_request, reply) =>
    reply.code(404).send({
      error: {
        message: 'There is no such resource.',
        type: 'invalid_request_error',
        code: 'notFound',
        param: null,
        didNotRun: true,
      },
    }),
  );
  return server;
}

function sendProtocolError(code: string | undefined, socket: Socket): void {
  if (code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const {status, ...error} =
    protocolErrorResponses[code ?? ''] ?? malformedRequestResponse;
  const body = JSON.stringify({
    error: {
      ...error,
      type: 'invalid_request_error',
      param: null,
      didNotRun: true,
    },
  });
  socket.end(
    [
      `HTTP/1.1 ${status}`,
      'content-type: application/json',
      `content-length: ${Buffer.byteLength(body)}`,
      'connection: close',
      '',
      body,
    ].join('\r\n'),
  );
}

/** Time for the last responses to reach their callers. */
const closeTimeoutMilliseconds = 300;

/**
 * Closes a server that has no requests left. Node.js counts a connection that
 * has never carried a request as busy, so such connections are closed after
 * `closeTimeoutMilliseconds`.
 */
export async function closeHttpServer(server: FastifyInstance): Promise<void> {
  const force = setTimeout(
    () => server.server.closeAllConnections(),
    closeTimeoutMilliseconds,
  );
  await server.close();
  clearTimeout(force);
}
