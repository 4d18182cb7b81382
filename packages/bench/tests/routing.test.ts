/** @fileoverview Tests the routing policy on the modelled fleet. */
import {describe, expect, it} from 'vitest';

import {
  compareFaults,
  comparePolicies,
  findPeak,
  fullPolicy,
  runOverload,
} from '../src/routing/index.js';

const timeout = 60_000;

describe('routing policy in virtual time', () => {
  it(
    'keeps its goodput at twice the capacity and recovers within seconds',
    () => {
      const peak = findPeak(fullPolicy, [70, 85]);
      const result = runOverload(fullPolicy, peak);
      expect(result.goodputTokens).toBeGreaterThanOrEqual(
        0.9 * peak.goodputTokens,
      );
      expect(result.recoverySeconds).toBeLessThan(10);
      expect(result.urgentDuring).toBeLessThan(1_000);
      expect(result.backgroundServedShare).toBeGreaterThan(0);
    },
    timeout,
  );

  it(
    'completes all requests despite failing servers and a popular prompt',
    () => {
      const rows = compareFaults();
      for (const scenario of new Set(rows.map(row => row['scenario']))) {
        // The first row of a scenario is the full policy's.
        const row = rows.find(each => each['scenario'] === scenario);
        expect(row).toMatchObject({'no whole answer': 0});
      }
    },
    timeout,
  );

  it(
    'has a shorter time to first token than the baselines',
    () => {
      const rows = comparePolicies([50], {durationMilliseconds: 60_000});
      const [policy, ...baselines] = rows.map(row => Number(row['p95']));
      for (const baseline of baselines) expect(policy).toBeLessThan(baseline);
    },
    timeout,
  );
});
