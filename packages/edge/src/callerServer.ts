/**
 * @fileoverview The HTTP server for callers, and the limits of their requests.
 */
import {createServer, type RequestListener, type Server} from 'node:http';
import {type Duplex} from 'node:stream';

import {type RouteTable} from '@dogwoodtrestle/fleet';
import {
  type BodyFailure,
  ConnectionLimit,
  divideParsing,
  followRunningRequests,
  keepUnreadResponses,
} from '@dogwoodtrestle/runtime';

import {type CallerLimits} from './callerLimits.js';
import {type EdgeOptions} from './edgeOptions.js';
import {type RefusalReason} from './refusal.js';
import {type CallerRequest} from './wireCodec.js';

/** Maximum bytes of request headers; not configurable. */
const maxHeaderBytes = 64 * 1024;

/** Maximum bytes of a body before the first configuration. */
const defaultMaxBodyBytes = 4 * 1024 * 1024;

/** Time for a body before the first configuration. */
const defaultBodyMilliseconds = 30_000;

/** Idle timeout of caller connections before the first configuration. */
const defaultIdleTimeoutMilliseconds = 15_000;

/** Time added to the configured idle timeout, so that callers close first. */
const idleTimeoutMarginMilliseconds = 2_000;

/** Interval at which heads that arrive slowly are looked for. */
const headCheckMilliseconds = 1_000;

/** Statuses of bytes that can't be parsed, by the code of the error; else 400. */
const protocolErrorStatuses: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};

/** Refusals of requests whose bodies were not read; none if the caller left. */
export const bodyRefusals: Readonly<
  Record<BodyFailure, RefusalReason | undefined>
> = {
  tooLarge: 'bodyTooLarge',
  late: 'bodyLate',
  crowded: 'memoryFull',
  gone: undefined,
};

/** Creates the server, which does not listen yet. */
export function createCallerServer(
  {maxCallerConnections}: Pick<EdgeOptions, 'maxCallerConnections'>,
  limits: CallerLimits,
  onRequest: RequestListener,
): Server {
  const server = createServer(
    {
      maxHeaderSize: maxHeaderBytes,
      connectionsCheckingInterval: headCheckMilliseconds,
    },
    onRequest,
  );
  server.requestTimeout = 0;
  followIdleTimeout(server, undefined);
  divideParsing(server);
  keepUnreadResponses(server);
  const hasRunningRequest = followRunningRequests(server);
  server.on('clientError', ({code}: NodeJS.ErrnoException, connection) => {
    // The refusal would be taken for the answer to the earlier request.
    if (connection.writable && !hasRunningRequest(connection)) {
      refuseBytes(connection, code);
    }
    connection.destroy();
  });
  new ConnectionLimit({
    maxConnections: maxCallerConnections,
    onClosed: () => limits.record('connections'),
  }).watch(server);
  return server;
}

function refuseBytes(connection: Duplex, code = ''): void {
  const status = protocolErrorStatuses[code] ?? '400 Bad Request';
  const headers = 'Connection: close\r\nContent-Length: 0\r\n';
  connection.write(`HTTP/1.1 ${status}\r\n${headers}\r\n`);
}

/** Closes idle connections, and those whose heads trickle, after the idle time. */
export function followIdleTimeout(
  server: Server,
  routes: RouteTable | undefined,
): void {
  const limits = routes?.configuration.limits;
  const idleMilliseconds =
    limits?.idleTimeoutMilliseconds ?? defaultIdleTimeoutMilliseconds;
  const limit = idleMilliseconds + idleTimeoutMarginMilliseconds;
  server.keepAliveTimeout = limit;
  server.headersTimeout = limit;
}

/** Bytes of a body, and its time: later, its caller waits for no answer. */
export function bodyLimitsOf(
  routes: RouteTable | undefined,
  request: CallerRequest | undefined,
): {maxBytes: number; milliseconds: number} {
  const milliseconds = Math.min(
    routes?.longestTimeoutMilliseconds ?? defaultBodyMilliseconds,
    request?.timeRemainingMilliseconds ?? Infinity,
  );
  const maxBytes =
    routes?.configuration.limits?.bodyBytes ?? defaultMaxBodyBytes;
  return {maxBytes, milliseconds};
}
