/**
 * @fileoverview Decides whether a request may be sent to one more backend server,
 * and says why where it may not.
 */
import {type EdgeContext} from './edgeContext.js';
import {type RelayedStream} from './relayedStream.js';
import {type RequestGuard} from './requestGuard.js';
import {minSendTimeMilliseconds} from './requestLimits.js';
import {type RequestTerms} from './requestTerms.js';
import {type RoutedRequest} from './routedRequest.js';
import {type PooledServer} from './serverPool.js';
import {type SelectionCriteria, selectServer} from './serverSelection.js';

/**
 * Why a request is not sent on: its route allows no more `attempts`, it may have
 * caused `crashes`, the stream has `noEventIds` to go on after, too little time is
 * left (`outOfTime`), there is `noServer`, or the service's retry budget is used up
 * (`overBudget`).
 */
export type RetryRefusal =
  | 'attempts'
  | 'crashes'
  | 'noEventIds'
  | 'outOfTime'
  | 'noServer'
  | 'overBudget';

/** The server that a request is sent to next, or why it is sent to none. */
export type RetryDecision = {server: PooledServer} | {refusal: RetryRefusal};

/** A request that may be sent on. */
export interface RetryRequest {
  input: RoutedRequest;
  terms: RequestTerms;
  guard: RequestGuard;
  stream: RelayedStream;
  criteria: SelectionCriteria;
  /** Servers that have got it. */
  sentAttempts: number;
}

/** Takes a retry from the service's budget, unless the request is not sent on. */
export function takeRetry(
  context: EdgeContext,
  {input, terms, guard, stream, criteria, sentAttempts}: RetryRequest,
  now: number,
): RetryDecision {
  const {route, service} = input;
  const {retryBudget, control} = context;
  if (sentAttempts >= route.maxAttempts) return {refusal: 'attempts'};
  if (!guard.mayResend()) return {refusal: 'crashes'};
  if (!stream.mayGoOn) return {refusal: 'noEventIds'};
  if (terms.deadline - now < minSendTimeMilliseconds) {
    return {refusal: 'outOfTime'};
  }
  const server = selectServer(context, criteria, now);
  if (server === undefined) return {refusal: 'noServer'};
  if (!retryBudget.takeRetry(service, control.routerCount, now)) {
    return {refusal: 'overBudget'};
  }
  return {server};
}
