/**
 * @fileoverview Pattern: engines slow down under load and with long prompts, and
 * requests that time out read the same prompts again at other engines.
 */
import {describe, expect, it} from 'vitest';

import {ResponseTimes} from '../src/index.js';

const options = {
  minMilliseconds: 1_000,
  tokensToDouble: 4_000,
  deviations: 4,
};

/** Times of an engine that reads prompts at constant speed after a queue. */
function createTimes(queueMilliseconds: number, tokensPerMillisecond: number) {
  const times = new ResponseTimes(options);
  for (let count = 0; count < 100; count++) {
    const tokens = 500 + ((count * 1_777) % 9_000);
    const queueFactor = 0.5 + ((count * 7) % 10) / 10;
    const wait = queueMilliseconds * queueFactor;
    times.observe(tokens, wait + tokens / tokensPerMillisecond);
  }
  return times;
}

describe('ResponseTimes', () => {
  it('uses the least timeout when responses are fast', () => {
    const times = createTimes(40, 112);
    expect(times.firstEventTimeout(2_000)).toBe(options.minMilliseconds);
  });

  // The users' slowest engines read 40.8 tokens per millisecond.
  it.each([
    [20_000, 40.8],
    [55_000, 40.8],
    [55_000, 112],
  ])('allows for a prompt of %i tokens read at %f per ms', (tokens, speed) => {
    const times = createTimes(100, speed);
    expect(times.firstEventTimeout(tokens)).toBeGreaterThan(
      100 + tokens / speed,
    );
  });

  it('increases the timeout once all engines are slow', () => {
    const times = createTimes(100, 112);
    for (let count = 0; count < 20; count++) times.observe(2_000, 1_500);
    expect(times.firstEventTimeout(2_000)).toBeGreaterThan(1_500);
  });

  it('scales the least timeout for long prompts before the first sample', () => {
    const times = new ResponseTimes(options);
    expect(times.firstEventTimeout(0)).toBe(1_000);
    expect(times.firstEventTimeout(4_000)).toBe(2_000);
    expect(times.firstEventTimeout(55_000)).toBe(3_000);
  });
});
