/**
 * @fileoverview Pattern: a server turns work away, and everybody who waited for
 * it returns in the same moment.
 */
import {describe, expect, it} from 'vitest';

import {CircuitBreaker, type ServerSignal} from '../src/index.js';

const options = {
  sheddingMilliseconds: 100,
  maxSheddingMilliseconds: 800,
  unreachableMilliseconds: 1_000,
  maxBusyMilliseconds: 60_000,
  trialMilliseconds: 250,
};

/** A bar that heard some news at time 0. */
function createBar(...news: ServerSignal[]): CircuitBreaker {
  const bar = new CircuitBreaker(options);
  for (const one of news) bar.record({}, one, 0);
  return bar;
}

/** Requests that are let through at one moment, of many that wait. */
function sendAll(bar: CircuitBreaker, now: number): object[] {
  const sent: object[] = [];
  for (let count = 0; count < 20; count++) {
    if (!bar.admits(now)) continue;
    const request = {count};
    bar.begin(request, now);
    sent.push(request);
  }
  return sent;
}

describe('ServerBar', () => {
  it.each<[string, ServerSignal[], number]>([
    ['nothing', [], 0],
    ['an answer', [{kind: 'answered'}], 0],
    [
      'a refusal with a time',
      [{kind: 'refused', retryAfterSeconds: 1.5}],
      1_500,
    ],
    ['a refusal without one', [{kind: 'refused'}], 100],
    ['a second one', [{kind: 'refused'}, {kind: 'refused'}], 200],
    ['a failed connection', [{kind: 'unreachable'}], 1_000],
    ['leaving', [{kind: 'leaving'}], Infinity],
    [
      'a shorter time after a longer one',
      [
        {kind: 'refused', retryAfterSeconds: 2},
        {kind: 'refused', retryAfterSeconds: 0.5},
      ],
      2_000,
    ],
    [
      'an answer to an older request',
      [{kind: 'refused', retryAfterSeconds: 2}, {kind: 'answered'}],
      2_000,
    ],
    [
      'anything once it leaves',
      [{kind: 'leaving'}, {kind: 'refused'}, {kind: 'answered'}],
      Infinity,
    ],
    [
      'a time beyond belief',
      [{kind: 'refused', retryAfterSeconds: 1e9}],
      60_000,
    ],
  ])('admits nothing before its time: %s', (_, news, until) => {
    const bar = createBar(...news);
    const before = Number.isFinite(until) ? until - 1 : 1e9;
    if (until > 0) expect(bar.admits(before)).toBe(false);
    if (Number.isFinite(until)) expect(bar.admits(until)).toBe(true);
  });

  it('lets one request through first, and all once it was answered', () => {
    const bar = createBar({kind: 'refused', retryAfterSeconds: 1});
    const [first, ...others] = sendAll(bar, 1_000);
    expect(others).toEqual([]);
    bar.record(first!, {kind: 'answered'}, 1_010);
    expect(sendAll(bar, 1_010)).toHaveLength(20);
  });

  it('counts a request as taken that is not refused for a while', () => {
    const bar = createBar({kind: 'refused'});
    expect(sendAll(bar, 100)).toHaveLength(1);
    expect(sendAll(bar, 300)).toHaveLength(0);
    expect(sendAll(bar, 350)).toHaveLength(20);
  });

  it('lets another one through when the first ended without an answer', () => {
    const bar = createBar({kind: 'refused'});
    const [first] = sendAll(bar, 100);
    bar.record(first!, {kind: 'ended'}, 110);
    expect(sendAll(bar, 110)).toHaveLength(1);
  });

  it('waits longer with each refusal of the one, up to a bound', () => {
    const bar = createBar({kind: 'refused'});
    const waits: number[] = [];
    for (let round = 0; round < 6; round++) {
      const now = bar.blockedUntil;
      const [request] = sendAll(bar, now);
      bar.record(request!, {kind: 'refused'}, now);
      waits.push(bar.blockedUntil - now);
    }
    expect(waits).toEqual([200, 400, 800, 800, 800, 800]);
  });
});
