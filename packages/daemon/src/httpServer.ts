/**
 * @fileoverview The HTTP server for callers, backend servers and operators.
 */
import {type Socket} from 'node:net';

import {type Settings} from '@dogwoodtrestle/schema';
import {fastify, type FastifyInstance} from 'fastify';

/** Interval at which slow requests are looked for, in milliseconds. */
const slowRequestCheckMilliseconds = 500;

/** Idle connections are kept this long, in milliseconds. */
const keepAliveMilliseconds = 65000;

/** Answers to what is not HTTP, by the code of the parser's error. */
const protocolAnswers: Record<
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

const malformedAnswer = {
  status: '400 Bad Request',
  code: 'malformedRequest',
  message: 'The request is not well-formed HTTP.',
};

/** Creates the server; routes are added by others. */
export function createHttpServer(settings: Settings): FastifyInstance {
  const {maximumBodyBytes, bodyTimeoutMilliseconds} = settings.requests;
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
    clientErrorHandler: (error, socket) =>
      answerProtocolError((error as {code?: string}).code, socket),
  });
  // Node.js swaps the two timeouts where the one for headers is the longer.
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

function answerProtocolError(code: string | undefined, socket: Socket): void {
  if (code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const {status, ...error} = protocolAnswers[code ?? ''] ?? malformedAnswer;
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

/** Time for last answers to reach their callers, in milliseconds. */
const closeGraceMilliseconds = 300;

/**
 * Closes a server that has no requests left. A connection on which no request
 * ever came counts as busy, so it is closed by force.
 */
export async function closeHttpServer(server: FastifyInstance): Promise<void> {
  const force = setTimeout(
    () => server.server.closeAllConnections(),
    closeGraceMilliseconds,
  );
  await server.close();
  clearTimeout(force);
}
