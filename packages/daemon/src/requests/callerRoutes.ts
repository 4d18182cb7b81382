/**
 * @fileoverview HTTP routes for callers.
 */
import {Readable} from 'node:stream';

import {SpanStatusCode} from '@opentelemetry/api';
import {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from 'fastify';

import {crowdedCode} from '../bodyLimits.js';
import {type ResponseBuffer} from './responseBuffer.js';
import {type ChatHandler} from './chatHandler.js';
import {type RequestDependencies} from './dependencies.js';
import {type Explanations} from './explanations.js';
import {
  didNotRunOf,
  refusal,
  type Refusal,
  refusalBody,
  refusalOf,
  retryAfterOf,
  statusOf,
} from './refusal.js';
import {
  authenticate,
  type Caller,
  openScope,
  type RequestScope,
} from './requestScope.js';
import {IncomingRequest} from './incomingRequest.js';
import {type ServiceHandler} from './serviceHandler.js';

/** Dependencies of the routes. */
export interface CallerRouteParts {
  dependencies: RequestDependencies;
  explanations: Explanations;
  chat: ChatHandler;
  services: ServiceHandler;
  /** Whether the instance accepts new requests. */
  isServing: () => boolean;
}

/** Outcome code and HTTP status of a request that has ended. */
interface HandlerResult {
  code: string;
  status: number;
}

type Handler = (
  scope: RequestScope,
  caller: Caller,
  request: FastifyRequest,
  reply: FastifyReply,
) => Promise<HandlerResult>;

/** Refusal reasons by the code of the Fastify error. */
const fastifyErrorRefusals: Record<
  string,
  'bodyTooLarge' | 'unsupportedMediaType' | 'overloaded'
> = {
  [crowdedCode]: 'overloaded',
  FST_ERR_CTP_BODY_TOO_LARGE: 'bodyTooLarge',
  FST_ERR_CTP_INVALID_MEDIA_TYPE: 'unsupportedMediaType',
};

/** Adds the routes for callers to an HTTP server. */
export async function addCallerRoutes(
  server: FastifyInstance,
  parts: CallerRouteParts,
): Promise<void> {
  await server.register(async routes => {
    routes.removeAllContentTypeParsers();
    routes.addContentTypeParser(
      '*',
      {parseAs: 'buffer'},
      (_request, body, done) => done(null, body),
    );
    routes.setErrorHandler((error, request, reply) => {
      const {code} = error as {code?: string};
      const reason = fastifyErrorRefusals[code ?? ''];
      const scope = openScope(
        parts.dependencies,
        parts.explanations,
        request.headers,
      );
      sendRefusal(
        parts,
        scope,
        reply,
        reason === undefined ? refusalOf(error) : refusal(reason),
      );
    });
    const route = (handler: Handler) => wrapHandler(parts, handler);
    routes.post('/v1/chat/completions', route(serveChat(parts)));
    routes.get('/v1/models', route(listModels));
    routes.all('/services/:service', route(serveService(parts)));
    routes.all('/services/:service/*', route(serveService(parts)));
  });
}

/** Wraps a handler with authentication, tracing, refusals and metrics. */
function wrapHandler(parts: CallerRouteParts, handler: Handler) {
  const {dependencies, explanations} = parts;
  return async (request: FastifyRequest, reply: FastifyReply) => {
    const scope = openScope(dependencies, explanations, request.headers);
    reply.header('x-request-id', scope.requestId);
    reply.header('traceparent', scope.traceparent);
    try {
      if (!parts.isServing()) throw refusal('leaving');
      const caller = await authenticate(dependencies, request.headers);
      const result = await handler(scope, caller, request, reply);
      finishRequest(parts, scope, result);
    } catch (error) {
      if (refusalOf(error) !== error) {
        dependencies.logger.error(
          {err: error, requestId: scope.requestId},
          'request failed',
        );
      }
      sendRefusal(parts, scope, reply, refusalOf(error));
    }
    return reply;
  };
}

function serveChat({chat}: CallerRouteParts): Handler {
  return async (scope, caller, request, reply) => {
    const answer = await chat.serve(scope, caller, toIncomingRequest(request));
    const closed = new AbortController();
    reply.raw.once('close', () => closed.abort());
    await answer.waitForHead();
    if (answer.head === undefined) {
      throw answer.failure ?? refusal('internalError');
    }
    const {status, contentType} = answer.head;
    reply.code(status).header('content-type', contentType);
    if (contentType === 'text/event-stream') {
      reply.header('cache-control', 'no-cache');
    }
    // With a length, as callers of HTTP/1.0 read no chunks.
    if (answer.state === 'complete') await reply.send(answer.text());
    else await sendAnswer(reply, answer, closed.signal);
    const isComplete = answer.state === 'complete';
    return {
      code: isComplete ? 'ok' : (answer.failure?.reason ?? 'callerLeft'),
      status,
    };
  };
}

/** Streams a response to a connection and resolves when that has ended. */
function sendAnswer(
  reply: FastifyReply,
  answer: ResponseBuffer,
  signal: AbortSignal,
): Promise<void> {
  const connectionEnded = new Promise<void>(resolve => {
    reply.raw.once('close', resolve);
    reply.raw.once('finish', resolve);
  });
  void reply.send(Readable.from(answer.read(signal), {objectMode: false}));
  return connectionEnded;
}

async function listModels(
  _scope: RequestScope,
  {view}: Caller,
  _request: FastifyRequest,
  reply: FastifyReply,
): Promise<HandlerResult> {
  await reply.send({
    object: 'list',
    data: view.contract.models.map(({name}) => ({
      id: name,
      object: 'model',
      created: 0,
      owned_by: view.contract.customer,
    })),
  });
  return {code: 'ok', status: 200};
}

function serveService({services}: CallerRouteParts): Handler {
  return async (scope, caller, request, reply) => {
    const {service} = request.params as {service: string};
    const prefix = `/services/${encodeURIComponent(service)}`;
    const rest = request.raw.url?.slice(prefix.length) ?? '';
    const path = rest.startsWith('/') ? rest : `/${rest}`;
    const answer = await services.serve(
      scope,
      caller,
      toIncomingRequest(request),
      {
        service,
        path,
      },
    );
    await reply
      .code(answer.status)
      .header('content-type', answer.contentType)
      .send(answer.body);
    return {code: 'ok', status: answer.status};
  };
}

function toIncomingRequest(request: FastifyRequest): IncomingRequest {
  const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
  return new IncomingRequest(request.method, request.headers, body);
}

function finishRequest(
  {dependencies}: CallerRouteParts,
  scope: RequestScope,
  {code, status}: HandlerResult,
): void {
  const {metrics, logger, now} = dependencies;
  const milliseconds = now() - scope.startedAt;
  metrics.increment('requests.finished', 1, {code});
  metrics.timing('requests.duration', milliseconds);
  scope.span.setAttribute('http.response.status_code', status);
  scope.span.end();
  const {requestId, traceId, explanation} = scope;
  const {customer, workspace} = explanation;
  logger.info(
    {
      requestId,
      traceId,
      customer,
      workspace,
      code,
      status,
      milliseconds: Math.round(milliseconds),
    },
    'request finished',
  );
}

function sendRefusal(
  {dependencies}: CallerRouteParts,
  scope: RequestScope,
  reply: FastifyReply,
  error: Refusal,
): void {
  const {requestId, traceId, explanation, span} = scope;
  explanation.code = error.reason;
  explanation.message = error.message;
  if (error.detail.inputs !== undefined) {
    explanation.add('refusal', error.detail.inputs);
  }
  dependencies.metrics.increment('requests.refused', 1, {code: error.reason});
  const status = statusOf(error);
  dependencies.logger.info(
    {
      requestId,
      traceId,
      customer: explanation.customer,
      workspace: explanation.workspace,
      code: error.reason,
      didNotRun: didNotRunOf(error),
      status,
    },
    'request refused',
  );
  span.setStatus({code: SpanStatusCode.ERROR, message: error.reason});
  span.setAttribute('http.response.status_code', status);
  span.end();
  if (reply.sent) return;
  const retryAfter = retryAfterOf(error);
  if (retryAfter !== undefined) reply.header('retry-after', String(retryAfter));
  void reply
    .code(status)
    .header('x-request-id', requestId)
    .header('traceparent', scope.traceparent)
    .header('content-type', 'application/json')
    .send(JSON.stringify(refusalBody(error, requestId)));
}
