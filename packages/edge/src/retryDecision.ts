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
 * caused `crashes`, the stream has `noEventIds` to go on after, an answer that is no
 * stream has `begun` to reach the caller, too little time is left (`outOfTime`), the
 * service's retry budget is used up (`overBudget`), there is `noServer`, or none of
 * the others is heard (`serversSilent`).
 */
export type RetryRefusal =
  | 'attempts'
  | 'crashes'
  | 'noEventIds'
  | 'begun'
  | 'outOfTime'
  | 'overBudget'
  | 'noServer'
  | 'serversSilent';

/** The server that a request is sent to next, or why it is sent to none. */
export type RetryDecision = {server: PooledServer} | {refusal: RetryRefusal};

/** A request that may be sent on. */
export interface RetryRequest {
  input: RoutedRequest;
  terms: RequestTerms;
  guard: RequestGuard;
  stream: RelayedStream;
  criteria: SelectionCriteria;
  /** Whether the caller has a part of an answer that is no stream. */
  hasBegun: boolean;
  /** Servers that have got it. */
  sentAttempts: number;
}

/**
 * Takes a retry from the service's budget, unless the request is not sent on.
 *
 * @param options Whether the first server may still go on, so that one which is as
 *     silent is no better, and the time within which another one must have sent a
 *     byte, in milliseconds.
 */
export function takeRetry(
  context: EdgeContext,
  {input, terms, guard, stream, criteria, hasBegun, sentAttempts}: RetryRequest,
  now: number,
  {isHedge = false, heardWithin = Infinity} = {},
): RetryDecision {
  const {route, service} = input;
  const {retryBudget, control} = context;
  if (sentAttempts >= route.maxAttempts) return {refusal: 'attempts'};
  if (!stream.mayGoOn) return {refusal: 'noEventIds'};
  if (hasBegun) return {refusal: 'begun'};
  if (terms.deadline - now < minSendTimeMilliseconds) {
    return {refusal: 'outOfTime'};
  }
  if (!retryBudget.hasRetry(service, control.routerCount, now)) {
    return {refusal: 'overBudget'};
  }
  // Asked last, as it may take the one trial of a blocked subject.
  if (!guard.mayResend()) return {refusal: 'crashes'};
  const {tried} = criteria;
  const silent = isHedge
    ? silentServers(context, {service, tried, heardWithin}, now)
    : none;
  const excluded = {has: (id: string) => tried.has(id) || silent.has(id)};
  const limitDecisions = isHedge ? [] : criteria.limitDecisions;
  const untried = {...criteria, tried: excluded, limitDecisions};
  // A stalled request asks again and again.
  const server = selectServer(context, untried, now, {isDemand: !isHedge});
  if (server === undefined) {
    return {refusal: silent.size > 0 ? 'serversSilent' : 'noServer'};
  }
  retryBudget.takeRetry(service, control.routerCount, now);
  return {server};
}

const none: ReadonlySet<string> = new Set();

/** Returns the untried servers of a service that aren't heard, or fail often. */
function silentServers(
  {pool}: Pick<EdgeContext, 'pool'>,
  {
    service,
    tried,
    heardWithin,
  }: Pick<SelectionCriteria, 'service' | 'tried'> & {heardWithin: number},
  now: number,
): ReadonlySet<string> {
  const silent = pool
    .eligible(service, now)
    .filter(server => !tried.has(server.id))
    .filter(
      server =>
        pool.isSuspect(server, now) || now - server.lastByteAt > heardWithin,
    );
  return new Set(silent.map(({id}) => id));
}
