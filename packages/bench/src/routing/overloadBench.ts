/**
 * @fileoverview Measures an overload of twice the capacity with callers that
 * retry: goodput relative to the peak, delay of urgent requests, and recovery.
 */
import {type Row} from '../util/table.js';
import {Fleet, type FleetOptions} from './fleet.js';
import {
  fairnessIndex,
  firstTokenDelays,
  type Measurements,
} from './measurements.js';
import {baselinePolicy, fullPolicy, type RouterPolicy} from './policy.js';

const second = 1_000;
const overloadStart = 30 * second;
const overloadEnd = 90 * second;
const runEnd = 150 * second;
/** Start of the measured part, when queues have filled. */
const steadyStart = overloadStart + 15 * second;
const baseLoadShareOfPeak = 0.6;
/** Delay above twice the baseline that counts as not yet recovered. */
const recoveryToleranceMilliseconds = 500;

/** Highest goodput and the request rate at which it was reached. */
export interface Peak {
  rate: number;
  /** Complete responses in time, per second. */
  goodput: number;
  /** Highest output tokens of complete responses per second at any rate. */
  goodputTokens: number;
}

/** Compared policies by the name in the results. */
export const overloadPolicies: Record<string, RouterPolicy> = {
  policy: fullPolicy,
  'policy without retry budget': {...fullPolicy, retryBudget: false},
  'policy without engine priorities': {...fullPolicy, enginePriorities: false},
  'least in flight': baselinePolicy('leastInFlight'),
  'least in flight, retry budget': {
    ...baselinePolicy('leastInFlight'),
    retryBudget: true,
  },
  'random of two': baselinePolicy('randomOfTwo'),
};

/** Finds the highest goodput among the rates, each as constant load. */
export function findPeak(
  policy: RouterPolicy,
  rates: readonly number[],
  options: Partial<FleetOptions> = {},
): Peak {
  const peaks = rates.map(rate => {
    const durationMilliseconds = 80 * second;
    const fleet = new Fleet({
      ...options,
      policy,
      durationMilliseconds,
      rate: () => rate,
    });
    const measurements = fleet.run();
    const span = [20 * second, durationMilliseconds] as const;
    const goodput = measurements.goodput(...span);
    return {rate, goodput, goodputTokens: measurements.goodputTokens(...span)};
  });
  const best = peaks.reduce((a, b) => (b.goodput > a.goodput ? b : a));
  const tokens = peaks.map(({goodputTokens}) => goodputTokens);
  return {...best, goodputTokens: Math.max(...tokens)};
}

/** Result of one run; delays are 95th percentiles in milliseconds. */
export interface OverloadResult {
  goodput: number;
  goodputTokens: number;
  urgentBefore: number;
  urgentDuring: number;
  fairness: number;
  backgroundServedShare: number;
  /** Undefined if the fleet had not recovered by the end. */
  recoverySeconds: number | undefined;
  measurements: Measurements;
}

/** Runs one overload with requests at twice the peak goodput. */
export function runOverload(
  policy: RouterPolicy,
  peak: Peak,
  options: Partial<FleetOptions> = {},
): OverloadResult {
  const isOverload = (now: number) => now >= overloadStart && now < overloadEnd;
  const fleet = new Fleet({
    ...options,
    policy,
    durationMilliseconds: runEnd,
    rate: now => peak.goodput * (isOverload(now) ? 2 : baseLoadShareOfPeak),
  });
  const measurements = fleet.run();
  const before = measurements.sentBetween(15 * second, overloadStart);
  const during = measurements.sentBetween(steadyStart, overloadEnd);
  const background = during.filter(
    ({request}) => request.kind.priority === 'background',
  );
  const served = background.filter(
    ({completedAt}) => completedAt !== undefined,
  );
  return {
    goodput: measurements.goodput(steadyStart, overloadEnd),
    goodputTokens: measurements.goodputTokens(steadyStart, overloadEnd),
    urgentBefore: firstTokenDelays(before, 'urgent').percentile(95),
    urgentDuring: firstTokenDelays(during, 'urgent').percentile(95),
    fairness: fairnessIndex(during),
    backgroundServedShare: served.length / Math.max(1, background.length),
    recoverySeconds: recoverySeconds(measurements),
    measurements,
  };
}

const peakRates = [60, 70, 80, 90];

/** Compares policies at twice the peak goodput of the full policy. */
export function compareOverloadAtPeak(): Row[] {
  return compareOverload(findPeak(fullPolicy, peakRates));
}

/** Returns one row for each policy, all under the same load. */
export function compareOverload(
  peak: Peak,
  options: Partial<FleetOptions> = {},
  policies: Record<string, RouterPolicy> = overloadPolicies,
): Row[] {
  return Object.entries(policies).map(([name, policy]) => {
    const result = runOverload(policy, peak, options);
    return {
      policy: name,
      'answers/s at 2x': result.goodput,
      'share of peak': result.goodput / peak.goodput,
      'tokens/s at 2x': result.goodputTokens,
      'share of peak ': result.goodputTokens / peak.goodputTokens,
      'urgent p95 before ms': result.urgentBefore,
      'urgent p95 at 2x ms': result.urgentDuring,
      fairness: result.fairness,
      'background served': result.backgroundServedShare,
      'recovery s': result.recoverySeconds ?? 'not by the end',
      attempts: result.measurements.attempts,
      'refusals by cause': result.measurements.refusalText(),
    };
  });
}

/** Seconds after the overload until new requests are no longer delayed. */
function recoverySeconds(measurements: Measurements): number | undefined {
  const before = measurements.sentBetween(15 * second, overloadStart);
  const baselineMilliseconds = firstTokenDelays(before).percentile(95);
  const limitMilliseconds =
    2 * baselineMilliseconds + recoveryToleranceMilliseconds;
  // Responses to requests of the last seconds are incomplete at the end.
  const lastSecond = runEnd - 25 * second;
  let recoveredAt = overloadEnd;
  for (let from = overloadEnd; from < lastSecond; from += second) {
    const sent = measurements.sentBetween(from, from + second);
    const isDelayed = firstTokenDelays(sent).percentile(95) > limitMilliseconds;
    if (isDelayed) recoveredAt = from + second;
  }
  if (recoveredAt >= lastSecond) return undefined;
  return (recoveredAt - overloadEnd) / second;
}
