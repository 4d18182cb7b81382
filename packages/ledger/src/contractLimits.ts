/**
 * @fileoverview Rate and concurrency limits, held over all instances at once.
 *
 * The rate is kept by the generic cell rate algorithm: one time per scope, at
 * which the requests opened so far have used up the rate. All numbers are
 * integers, so that every replica computes the same.
 */
import {
  type Limits,
  type RefusedResult,
  type Workspace,
} from '@dogwoodtrestle/schema';

import {type Account, type LimitUsage, getOrCreateSums} from './account.js';

const microsecondsPerMillisecond = 1000;
const microsecondsPerSecond = 1_000_000;

/** Requests may come ahead of their rate by this much. */
const burstMicroseconds = microsecondsPerSecond;

/** When a request that meets the concurrency limit should come back. */
const concurrencyRetryMilliseconds = 1000;

interface LimitScope {
  limits: Limits;
  usage: LimitUsage;
}

/** Returns the refusal of a request that a limit excludes now. */
export function checkLimits(
  account: Account,
  workspace: Workspace,
  now: number,
): RefusedResult | undefined {
  for (const scope of limitScopes(account, workspace)) {
    const refusal = checkConcurrency(scope) ?? checkRate(scope, now);
    if (refusal !== undefined) return refusal;
  }
  return undefined;
}

/** Counts an opened request against the rates. */
export function recordRateUsage(
  account: Account,
  workspace: Workspace,
  now: number,
): void {
  for (const {limits, usage} of limitScopes(account, workspace)) {
    const interval = emissionInterval(limits);
    if (interval === undefined) continue;
    usage.rateUsedUntil = effectiveRateUsedUntil(usage, now) + interval;
  }
}

function limitScopes(account: Account, workspace: Workspace): LimitScope[] {
  return [
    {limits: account.newest.contract.limits, usage: account},
    {limits: workspace.limits, usage: getOrCreateSums(account, workspace.name)},
  ];
}

function checkConcurrency({
  limits: {concurrentRequests},
  usage,
}: LimitScope): RefusedResult | undefined {
  if (concurrentRequests === undefined) return undefined;
  if (usage.openRequests < concurrentRequests) return undefined;
  return {
    kind: 'refused',
    code: 'concurrencyLimited',
    retryAfterMilliseconds: concurrencyRetryMilliseconds,
  };
}

function checkRate(
  {limits, usage}: LimitScope,
  now: number,
): RefusedResult | undefined {
  const interval = emissionInterval(limits);
  if (interval === undefined) return undefined;
  const aheadMicroseconds =
    effectiveRateUsedUntil(usage, now) +
    interval -
    now * microsecondsPerMillisecond;
  const excessMicroseconds =
    aheadMicroseconds - Math.max(burstMicroseconds, interval);
  if (excessMicroseconds <= 0) return undefined;
  return {
    kind: 'refused',
    code: 'rateLimited',
    retryAfterMilliseconds: Math.ceil(
      excessMicroseconds / microsecondsPerMillisecond,
    ),
  };
}

function effectiveRateUsedUntil(
  {rateUsedUntil}: LimitUsage,
  now: number,
): number {
  return Math.max(rateUsedUntil, now * microsecondsPerMillisecond);
}

/** Time between two requests at the full rate, in microseconds. */
function emissionInterval({requestsPerSecond}: Limits): number | undefined {
  return requestsPerSecond === undefined
    ? undefined
    : Math.ceil(microsecondsPerSecond / requestsPerSecond);
}
