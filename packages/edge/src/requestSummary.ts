/**
 * @fileoverview The log line and the metrics of a request that has ended.
 */
import {type EdgeContext} from './edgeContext.js';
import {type RefusalReason} from './refusal.js';
import {type RoutedRequest} from './routedRequest.js';

/** How a request ended. */
export interface RequestSummary {
  outcome: 'delivered' | 'refused' | 'brokenOff' | 'callerLeft';
  /** Status of a server's answer; 0 for none. */
  status: number;
  reason?: RefusalReason;
  /** Monotonic time of the first event that arrived. */
  firstEventAt?: number;
  events: number;
  /** Servers that it was sent to, in order. */
  servers: readonly string[];
  /** Tokens that count as used of the workspace's total. */
  usedTokens?: number;
}

/** Writes the line `request ended`, and counts the request. */
export function recordRequest(
  {clock, metrics, logger, control: control}: EdgeContext,
  {request, route, workspace, configurationVersion, receivedAt}: RoutedRequest,
  end: RequestSummary,
): void {
  const {outcome, status, reason, firstEventAt, events, servers} = end;
  const elapsed = clock.now() - receivedAt;
  metrics.requests.add({route: route.name, outcome: reason ?? outcome});
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
      events,
      servers,
      route: route.name,
      workspace: workspace?.name,
      promptTokens: request.generation?.promptTokens ?? 0,
      usedTokens: end.usedTokens,
      configurationVersion,
      controlAgeMilliseconds: Math.round(control.contactAgeMilliseconds),
    },
    'request ended',
  );
}
