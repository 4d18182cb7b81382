/**
 * @fileoverview Rate and concurrency limits, enforced across all instances.
 *
 * Rates are enforced by the generic cell rate algorithm (GCRA). It stores one
 * time per scope: the time until which the opened requests use up the rate.
 * All numbers are integers, so that every replica computes the same.
 */
import {
  type Limits,
  type RefusedResult,
  type Workspace,
} from '@dogwoodtrestle/schema';

import {type Account, type LimitUsage, getOrCreateSums} from './account.js';

const microsecondsPerMillisecond = 1000;
const microsecondsPerSecond = 1_000_000;

/** Burst tolerance: how far requests may run ahead of their rate. */
const burstMicroseconds = microsecondsPerSecond;

/** Delay before the retry of a request refused by a concurrency limit. */
const concurrencyRetryMilliseconds = 1000;

/** Limits of a customer or of a workspace, with their usage. */
interface LimitScope {
  limits: Limits;
  usage: LimitUsage;
}

/** Returns a refusal if a limit does not permit a request now. */
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

/** Counts an opened request against the rate limits. */
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

/** Returns the time between two requests at the full rate, in microseconds. */
function emissionInterval({requestsPerSecond}: Limits): number | undefined {
  return requestsPerSecond === undefined
    ? undefined
    : Math.ceil(microsecondsPerSecond / requestsPerSecond);
}
