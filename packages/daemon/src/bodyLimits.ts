/**
 * @fileoverview Reads the bodies of requests to a Fastify server within a limit for
 * all of them together, before a parser sees them.
 */
import {type IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';

import {
  type BodyFailure,
  ByteAccount,
  discardRest,
  divideParsing,
  type LimitListener,
  LimitRecorder,
  limitRequestsAhead,
  limitsOfFailures,
  type Logger,
  readBody,
} from '@dogwoodtrestle/runtime';
import {errorCodes, type FastifyInstance, type FastifyRequest} from 'fastify';

import {type Metrics} from './util/metrics.js';

/** Limits of the bodies of a server's requests. */
export interface BodyLimits {
  /** Bytes of one body. */
  maxBytes: number;
  /** Bytes of all bodies together. */
  maxTotalBytes: number;
  /** Called when a client meets a limit. */
  onLimit?: LimitListener;
}

/** Code of the error for a body that there is no memory for. */
export const crowdedCode = 'BODY_CROWDED';

/** Errors of requests whose bodies were not read. */
const bodyErrors: Readonly<Record<BodyFailure, () => Error>> = {
  tooLarge: () => new errorCodes.FST_ERR_CTP_BODY_TOO_LARGE(),
  late: () => createError('BODY_LATE', 408, 'The body is late.'),
  crowded: () =>
    createError(crowdedCode, 503, 'No memory is left for the body.'),
  gone: () => createError('BODY_GONE', 400, 'The body has no end.'),
};

/** Adds the limits to a server; call it before its routes are added. */
export function limitBodies(
  server: FastifyInstance,
  {maxBytes, maxTotalBytes, onLimit}: BodyLimits,
): void {
  const account = new ByteAccount({maxBytes: maxTotalBytes});
  divideParsing(server.server);
  limitRequestsAhead(server.server, () => onLimit?.('requestsAhead'));
  // Requests that were read with the one for which their connection was closed.
  server.addHook('onRequest', async ({raw}) => {
    if (raw.socket.destroyed) throw bodyErrors.gone();
  });
  server.addHook('preParsing', async (request, reply, payload) => {
    if (!hasBody(request)) return payload;
    const read = await readBody(request.raw, {maxBytes, account});
    if (typeof read === 'string') {
      if (read !== 'gone') onLimit?.(limitsOfFailures[read]);
      throw bodyErrors[read]();
    }
    reply.raw.once('close', () => read.held.release());
    return Readable.from([read.bytes], {objectMode: false});
  });
  // A request that is refused by its head is not read to its end.
  server.addHook('onSend', async (request, reply, payload) => {
    if (!hasBody(request) || request.raw.complete) return payload;
    void reply.header('connection', 'close');
    if (typeof payload !== 'string') return payload;
    void reply.header('content-length', Buffer.byteLength(payload));
    return Readable.from(withRestDiscarded(request.raw, payload));
  });
}

/** Returns a listener that records the uses of the limits of a port. */
export function recordLimitsOf(
  port: 'callers' | 'instances',
  {logger, metrics}: {logger: Logger; metrics: Metrics},
): LimitListener {
  return new LimitRecorder({
    logger,
    count: limit => metrics.increment('limits.met', 1, {port, limit}),
    describe: () => ({port}),
  }).record;
}

/** An answer that ends once the rest of its request was read. */
async function* withRestDiscarded(message: IncomingMessage, answer: string) {
  yield Buffer.from(answer);
  await new Promise<void>(resolve => discardRest(message, resolve));
}

function hasBody({headers}: FastifyRequest): boolean {
  const length = headers['content-length'] ?? '0';
  return length !== '0' || headers['transfer-encoding'] !== undefined;
}

function createError(code: string, statusCode: number, message: string): Error {
  return Object.assign(new Error(message), {code, statusCode});
}
