/**
 * @fileoverview Tests of rate and concurrency limits, retry budgets, outlier
 * detection, hedging and KV cache transfer.
 */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  ConcurrencyLimiter,
  decideHedging,
  decideKvTransfer,
  type HedgingInput,
  OutlierDetector,
  RateLimiter,
  RetryBudget,
} from '../src/index.js';

function limitedOf(customerRate: number, workspaceRate: number) {
  return {
    customer: 'desk',
    customerLimits: {
      requestsPerSecond: customerRate,
      concurrentRequests: customerRate,
    },
    workspace: 'lots',
    workspaceLimits: {
      requestsPerSecond: workspaceRate,
      concurrentRequests: workspaceRate,
    },
  };
}

describe('RateLimiter', () => {
  it('allows at most the rate plus a burst and gives exact retry times', () => {
    const gaps = fc.array(fc.integer({min: 0, max: 400}), {maxLength: 80});
    fc.assert(
      fc.property(gaps, fc.integer({min: 1, max: 20}), (steps, rate) => {
        const limiter = new RateLimiter();
        let now = 0;
        let allowed = 0;
        for (const step of steps) {
          now += step;
          const decision = limiter.take(limitedOf(rate, 1_000), now);
          if (decision.allowed) {
            allowed += 1;
            continue;
          }
          now += decision.retryAfterMilliseconds;
          expect(limiter.take(limitedOf(rate, 1_000), now).allowed).toBe(true);
          allowed += 1;
        }
        expect(allowed).toBeLessThanOrEqual(rate + (now / 1_000) * rate + 1e-6);
      }),
      {seed: 66, numRuns: 200},
    );
  });

  it('takes nothing from the customer when the workspace is refused', () => {
    const limiter = new RateLimiter();
    const other = {...limitedOf(2, 1), workspace: 'other'};
    const taken = [limitedOf(2, 1), limitedOf(2, 1), other, other].map(each =>
      limiter.take(each, 0),
    );
    expect(taken).toMatchObject([
      {allowed: true},
      {allowed: false, scope: 'workspace'},
      {allowed: true},
      {allowed: false, scope: 'customer'},
    ]);
  });
});

describe('ConcurrencyLimiter', () => {
  it('enforces both limits and releases them', () => {
    const limiter = new ConcurrencyLimiter();
    const request = limitedOf(2, 1);
    const other = {...request, workspace: 'other'};
    const third = {...request, workspace: 'third'};
    expect(limiter.acquire(request)).toMatchObject({allowed: true});
    expect(limiter.acquire(request)).toMatchObject({scope: 'workspace'});
    expect(limiter.acquire(other)).toMatchObject({allowed: true});
    expect(limiter.acquire(third)).toMatchObject({scope: 'customer'});
    limiter.release(request);
    expect(limiter.acquire(third)).toMatchObject({allowed: true});
  });
});

describe('RetryBudget', () => {
  it('never allows more than its share over a window', () => {
    const step = fc.record({
      gap: fc.integer({min: 0, max: 500}),
      requests: fc.integer({min: 0, max: 30}),
      retries: fc.integer({min: 0, max: 30}),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 40}), steps => {
        const budget = new RetryBudget();
        const requests: number[] = [];
        const retries: number[] = [];
        let now = 0;
        for (const each of steps) {
          now += each.gap;
          for (let index = 0; index < each.requests; index += 1) {
            budget.recordRequest(now);
            requests.push(now);
          }
          for (let index = 0; index < each.retries; index += 1) {
            if (budget.tryRetry(now)) retries.push(now);
          }
          // The window ends at the boundary of a bucket, a tenth of the window.
          const recent = (times: number[], width: number) =>
            times.filter(time => time > now - width).length;
          const allowed = Math.max(3, 0.1 * recent(requests, 10_000));
          expect(recent(retries, 9_000)).toBeLessThanOrEqual(allowed);
        }
      }),
      {seed: 67, numRuns: 200},
    );
  });
});

describe('RetryBudget window', () => {
  it('ignores requests of earlier windows', () => {
    const budget = new RetryBudget();
    for (let index = 0; index < 1_000; index += 1) budget.recordRequest(0);
    const retries = Array.from({length: 50}, () => budget.tryRetry(20_000));
    expect(retries.filter(Boolean)).toHaveLength(3);
  });
});

describe('OutlierDetector', () => {
  const fail = (detector: OutlierDetector, name: string, now: number) => {
    for (let index = 0; index < 5; index += 1) {
      detector.record(name, 'failure', 3, now);
    }
  };

  it('ejects at most a third, each time for longer', () => {
    const detector = new OutlierDetector();
    for (const name of ['a', 'b', 'c']) fail(detector, name, 0);
    const ejected = ['a', 'b', 'c'].filter(each => detector.isEjected(each, 1));
    expect(ejected).toEqual(['a']);
    expect(detector.isEjected('a', 5_000)).toBe(false);
    detector.record('a', 'failure', 3, 5_000);
    expect(detector.isEjected('a', 14_999)).toBe(true);
    expect(detector.isEjected('a', 15_000)).toBe(false);
  });

  it('ejects by success rate without many consecutive failures', () => {
    const detector = new OutlierDetector();
    for (let index = 0; index < 12; index += 1) {
      detector.record('a', index % 3 === 0 ? 'success' : 'failure', 3, index);
    }
    expect(detector.isEjected('a', 12)).toBe(true);
  });

  it('does not treat a late success as recovery', () => {
    const detector = new OutlierDetector();
    fail(detector, 'a', 0);
    detector.record('a', 'success', 3, 1);
    detector.record('a', 'failure', 3, 6_000);
    expect(detector.isEjected('a', 15_999)).toBe(true);
  });
});

describe('decideHedging', () => {
  const input: HedgingInput = {
    idempotent: true,
    hasOutput: false,
    attemptCount: 1,
    waitedMilliseconds: 1_000,
    remainingMilliseconds: 5_000,
    recentFirstTokenMilliseconds: Array.from({length: 100}, (_, i) => i),
    alternativeUtilisation: 0.2,
    cancellable: true,
    takeRetry: () => true,
  };
  it.each<{why?: string; change: Partial<HedgingInput>}>([
    {why: undefined, change: {}},
    {why: 'notIdempotent', change: {idempotent: false}},
    {why: 'answering', change: {hasOutput: true}},
    {why: 'alreadyHedged', change: {attemptCount: 2}},
    {why: 'notCancellable', change: {cancellable: false}},
    {why: 'tooFewSamples', change: {recentFirstTokenMilliseconds: [1]}},
    {why: 'notSlow', change: {waitedMilliseconds: 94}},
    {why: 'noTimeLeft', change: {remainingMilliseconds: 40}},
    {why: 'noRoom', change: {alternativeUtilisation: 0.9}},
    {why: 'noRoom', change: {alternativeUtilisation: undefined}},
    {why: 'retryBudgetUsedUp', change: {takeRetry: () => false}},
  ])('$why', ({why, change}) => {
    const decision = decideHedging({...input, ...change});
    expect(decision).toEqual(why ? {hedge: false, why} : {hedge: true});
  });
});

describe('decideKvTransfer', () => {
  const input = {
    promptTokens: 8_000,
    destinationHitRatio: 0,
    sourceHitRatio: 1,
    supported: true,
    prefillTokensPerSecond: 4_000,
  };
  it.each([
    {name: 'a long prompt', change: {}, transfer: true},
    {name: 'a short prompt', change: {promptTokens: 20}, transfer: false},
    {
      name: 'a gain within the margin',
      change: {prefillTokensPerSecond: 6_000},
      transfer: false,
    },
    {
      name: 'a cached prompt',
      change: {destinationHitRatio: 1},
      transfer: false,
    },
    {name: 'no support', change: {supported: false}, transfer: false},
    {
      name: 'fast prefill',
      change: {prefillTokensPerSecond: 9_000},
      transfer: false,
    },
  ])('$name: $transfer', ({change, transfer}) => {
    expect(decideKvTransfer({...input, ...change}).transfer).toBe(transfer);
  });
});
