/**
 * @fileoverview The scope of one caller's request (its ID, trace, explanation
 * and start time), and the identity of the caller.
 */
import {randomUUID} from 'node:crypto';
import {type IncomingHttpHeaders} from 'node:http';

import {type Context, type Span} from '@opentelemetry/api';
import {type ContractView, type Workspace} from '@dogwoodtrestle/schema';

import {contextOf, traceparentOf} from '../observability/tracing.js';
import {type RequestDependencies} from './dependencies.js';
import {type Explanation, type Explanations} from './explanations.js';
import {refusal} from './refusal.js';
import {keyHashOf, maximumKeyLength, scopedKey} from './requestKey.js';

/** State of one caller's request from its arrival on. */
export interface RequestScope {
  requestId: string;
  span: Span;
  context: Context;
  traceId: string;
  traceparent: string;
  explanation: Explanation;
  /** Monotonic time of arrival, in milliseconds. */
  startedAt: number;
}

/** The workspace that sent a request, and its contract. */
export interface Caller {
  view: ContractView;
  workspace: Workspace;
}

/** Creates the scope of a request that has arrived, and starts its span. */
export function openScope(
  {tracing, now}: RequestDependencies,
  explanations: Explanations,
  headers: IncomingHttpHeaders,
): RequestScope {
  const requestId = `req-${randomUUID()}`;
  const span = tracing.start('caller to router', tracing.extract(headers), {
    'request.id': requestId,
  });
  const {traceId} = span.spanContext();
  return {
    requestId,
    span,
    traceId,
    context: contextOf(span),
    traceparent: traceparentOf(span),
    explanation: explanations.create(requestId, traceId),
    startedAt: now(),
  };
}

/**
 * Returns the workspace that the request's bearer key belongs to.
 *
 * @throws RefusalError if the key is missing or unknown, or the contract has
 *     been retired.
 */
export async function authenticate(
  {contracts}: RequestDependencies,
  headers: IncomingHttpHeaders,
): Promise<Caller> {
  const match = /^Bearer\s+(\S+)$/i.exec(headers.authorization ?? '');
  const key = match?.[1];
  if (key === undefined) throw refusal('missingKey');
  const caller = await contracts.byKeyHash(keyHashOf(key));
  if (caller === undefined) throw refusal('unknownKey');
  if (caller.view.retired) throw refusal('contractRetired');
  return caller;
}

/** Records the caller and the request key in the explanation. */
export function recordCaller(
  {explanation}: RequestScope,
  {view, workspace}: Caller,
  requestKey: string,
): void {
  explanation.customer = view.contract.customer;
  explanation.workspace = workspace.name;
  explanation.requestKey = requestKey;
}

/** Key of a request. */
export interface RequestKey {
  requestKey: string;
  /** Whether the caller chose the key with an Idempotency-Key header. */
  fromCaller: boolean;
}

/**
 * Returns the key of a request: that of its Idempotency-Key header, or else one
 * derived from the request ID.
 *
 * @throws RefusalError if the header is empty or too long.
 */
export function requestKeyOf(
  headers: IncomingHttpHeaders,
  {view, workspace}: Caller,
  requestId: string,
): RequestKey {
  const header = headers['idempotency-key'];
  const {customer} = view.contract;
  if (header === undefined) {
    return {
      requestKey: scopedKey(customer, workspace.name, requestId),
      fromCaller: false,
    };
  }
  if (
    typeof header !== 'string' ||
    header === '' ||
    header.length > maximumKeyLength
  ) {
    throw refusal('invalidRequest', {
      message: `Idempotency-Key must have 1 to ${maximumKeyLength} characters.`,
      param: 'Idempotency-Key',
    });
  }
  return {
    requestKey: scopedKey(customer, workspace.name, header),
    fromCaller: true,
  };
}
