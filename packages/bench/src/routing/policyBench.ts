/**
 * @fileoverview Compares the routing policy with baselines on the same requests.
 */
import {type Row} from '../util/table.js';
import {Fleet, type FleetOptions} from './fleet.js';
import {
  fairnessIndex,
  firstTokenDelays,
  type Measurements,
} from './measurements.js';
import {baselinePolicy, fullPolicy, type RouterPolicy} from './policy.js';

/** Compared policies by the name in the results. */
export const comparedPolicies: Record<string, RouterPolicy> = {
  policy: fullPolicy,
  'random of two': baselinePolicy('randomOfTwo'),
  'least in flight': baselinePolicy('leastInFlight'),
};

const warmUpMilliseconds = 20_000;
/** Requests sent this close to the end may be incomplete and are left out. */
const tailMilliseconds = 20_000;

/** Returns one row for each policy and request rate per second. */
export function comparePolicies(
  rates: readonly number[],
  options: Partial<FleetOptions> = {},
  policies: Record<string, RouterPolicy> = comparedPolicies,
): Row[] {
  const durationMilliseconds = options.durationMilliseconds ?? 120_000;
  return rates.flatMap(rate =>
    Object.entries(policies).map(([name, policy]) => {
      const fleet = new Fleet({
        ...options,
        durationMilliseconds,
        policy,
        rate: () => rate,
      });
      return rowOf(name, rate, fleet.run(), durationMilliseconds);
    }),
  );
}

function rowOf(
  name: string,
  rate: number,
  measurements: Measurements,
  durationMilliseconds: number,
): Row {
  const end = durationMilliseconds - tailMilliseconds;
  const records = measurements.sentBetween(warmUpMilliseconds, end);
  const first = firstTokenDelays(records);
  const between = measurements.betweenTokens;
  const {attempts, localAttempts} = measurements;
  return {
    'requests/s': rate,
    policy: name,
    'first token p50 ms': first.percentile(50),
    p95: first.percentile(95),
    p99: first.percentile(99),
    'urgent p95': firstTokenDelays(records, 'urgent').percentile(95),
    'normal p95': firstTokenDelays(records, 'normal').percentile(95),
    'background p95': firstTokenDelays(records, 'background').percentile(95),
    'between tokens p50 ms': between.percentile(50),
    'p95 ': between.percentile(95),
    'p99 ': between.percentile(99),
    'goodput/s': measurements.goodput(warmUpMilliseconds, durationMilliseconds),
    'cache hits': measurements.cacheHitShare(),
    fairness: fairnessIndex(records),
    'same domain': localAttempts / Math.max(1, attempts),
    'refusals by cause': measurements.refusalText(),
  };
}
