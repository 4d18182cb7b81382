/**
 * @fileoverview Log entry and metrics of a finished request.
 */
import {type ControlPlaneClient} from './controlPlaneClient.js';
import {type EdgeContext} from './edgeContext.js';
import {type RefusalReason} from './refusal.js';
import {type RetryRefusal} from './retryDecision.js';
import {type RoutedRequest} from './routedRequest.js';
import {type LimitDecision} from './serverLimits.js';
import {type PooledServer} from './serverPool.js';
import {
  type countServerStates,
  type ServerDecision,
} from './serverSelection.js';
import {type TokenShortage} from './tokenReservation.js';

/** Summary of a finished request. */
export interface RequestSummary {
  outcome: 'delivered' | 'refused' | 'brokenOff' | 'callerLeft';
  /** Status of the server's response that was relayed; 0 for none. */
  status: number;
  reason?: RefusalReason;
  /** Monotonic time at which the first event arrived, in milliseconds. */
  firstEventAt?: number;
  /** Number of events that arrived. */
  events: number;
  /** Servers that the request was sent to, as `id@address`, in order. */
  servers: readonly string[];
  /** Whether only the close of its connection told the end of the response. */
  endedByClose: boolean;
  /** Why it was not sent to another server when its server had failed or stalled. */
  retryRefusal?: RetryRefusal;
  /** Decisions that followed from the limits of servers, in order. */
  limitDecisions: readonly LimitDecision[];
  /** Why the last server was chosen; undefined if none was. */
  placement?: ServerDecision;
  /** Set if the request was refused for want of tokens. */
  shortage?: TokenShortage;
  /** Servers by state; set if the request was refused for want of one. */
  serverStates?: ReturnType<typeof countServerStates>;
  /** Time for which it waited for room at this router, in milliseconds. */
  waitedMilliseconds: number;
  /** Tokens charged to the workspace's prepaid total. */
  usedTokens?: number;
}

/** Returns how old the contact with a leader is, and what it has confirmed. */
export function controlAges(
  control: Pick<
    ControlPlaneClient,
    'contactAgeMilliseconds' | 'viewAgeMilliseconds'
  >,
): {controlAgeMilliseconds: number; viewAgeMilliseconds: number} {
  return {
    controlAgeMilliseconds: Math.round(control.contactAgeMilliseconds),
    viewAgeMilliseconds: Math.round(control.viewAgeMilliseconds),
  };
}

/** Writes the log entry `request ended` and updates the metrics. */
export function recordRequest(
  {clock, metrics, logger, control}: EdgeContext,
  {request, route, workspace, configurationVersion, receivedAt}: RoutedRequest,
  end: RequestSummary,
): void {
  const {outcome, status, reason, firstEventAt, events, servers} = end;
  const {limitDecisions} = end;
  const isEvacuated = reason === 'serversEvacuated';
  const elapsed = clock.now() - receivedAt;
  metrics.requests.add({route: route.name, outcome: reason ?? outcome});
  if (reason !== undefined) {
    metrics.failures.add({workspace: workspace?.name ?? '', reason});
  }
  metrics.durations.observe(elapsed, {kind: route.kind, outcome});
  logger.info(
    {
      request: request.attemptId,
      outcome,
      reason,
      status,
      elapsedMilliseconds: Math.round(elapsed),
      firstEventMilliseconds:
        firstEventAt === undefined
          ? undefined
          : Math.round(firstEventAt - receivedAt),
      waitedMilliseconds:
        end.waitedMilliseconds < 1
          ? undefined
          : Math.round(end.waitedMilliseconds),
      events,
      servers,
      endedByClose: end.endedByClose || undefined,
      retryRefusal: end.retryRefusal,
      limits: limitDecisions.length > 0 ? limitDecisions : undefined,
      placement: end.placement && describePlacement(end.placement),
      shortage: end.shortage,
      serverStates: end.serverStates,
      evacuationRevision: isEvacuated
        ? control.evacuations.revision
        : undefined,
      route: route.name,
      workspace: workspace?.name,
      promptTokens: request.generation?.promptTokens ?? 0,
      usedTokens: end.usedTokens,
      configurationVersion,
      ...controlAges(control),
    },
    'request ended',
  );
}

/** Returns what a log line says of a choice. */
function describePlacement({
  rank,
  compared,
  cost,
  slowness = 1,
  otherRequests,
}: ServerDecision): object {
  return {
    rank,
    compared,
    cost: Math.round(cost * 100) / 100,
    slowness: Math.round(slowness * 100) / 100,
    otherRequests,
  };
}

/** Logs and counts a response that was given up, as it had no end. */
export function recordEndlessResponse(
  {logger, metrics, responseBudget}: EdgeContext,
  {request}: RoutedRequest,
  {record}: Pick<PooledServer, 'record'>,
  part: string,
): void {
  const {reservedBytes} = responseBudget;
  logger.warn(
    {request: request.attemptId, server: record.id, part, reservedBytes},
    'endless response',
  );
  metrics.endlessResponses.add({service: record.service});
}
