/**
 * @fileoverview What belongs to one caller's request from its arrival on:
 * identity, trace, deadline, and the contract it runs under.
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

/** One caller's request. */
export interface RequestScope {
  requestId: string;
  span: Span;
  context: Context;
  traceId: string;
  traceparent: string;
  explanation: Explanation;
  startedAt: number;
}

/** Whose request it is. */
export interface Caller {
  view: ContractView;
  workspace: Workspace;
}

/** Starts the scope of a request that has just arrived. */
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
 * Finds the workspace that a bearer key belongs to.
 *
 * @throws RefusalError without a key, or with an unknown one.
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

/** Notes whose request it is, and under which key. */
export function recordCaller(
  {explanation}: RequestScope,
  {view, workspace}: Caller,
  requestKey: string,
): void {
  explanation.customer = view.contract.customer;
  explanation.workspace = workspace.name;
  explanation.requestKey = requestKey;
}

/** Key of a request, and whether the caller chose it. */
export interface RequestKey {
  requestKey: string;
  fromCaller: boolean;
}

/**
 * Returns the key of a request: the caller's, or one of its own.
 *
 * @throws RefusalError for an empty or overlong key.
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
