/**
 * @fileoverview Pattern: engines slow down under load and read long prompts,
 * and requests that leave them read the same prompts elsewhere.
 */
import {describe, expect, it} from 'vitest';

import {ResponseTimes} from '../src/index.js';

const options = {
  minMilliseconds: 1_000,
  tokensToDouble: 4_000,
  deviations: 4,
};

/** Times of an engine that reads prompts at a speed, after a queue. */
function createTimes(queueMilliseconds: number, tokensPerMillisecond: number) {
  const times = new ResponseTimes(options);
  for (let count = 0; count < 100; count++) {
    const tokens = 500 + ((count * 1_777) % 9_000);
    const chance = 0.5 + ((count * 7) % 10) / 10;
    const wait = queueMilliseconds * chance;
    times.observe(tokens, wait + tokens / tokensPerMillisecond);
  }
  return times;
}

describe('ResponseTimes', () => {
  it('gives up soon where answers are quick', () => {
    const times = createTimes(40, 112);
    expect(times.firstEventTimeout(2_000)).toBe(options.minMilliseconds);
  });

  // The users' slowest engines read 40.8 tokens a millisecond.
  it.each([
    [20_000, 40.8],
    [55_000, 40.8],
    [55_000, 112],
  ])(
    'waits for a prompt of %i tokens to be read at %f a ms',
    (tokens, speed) => {
      const times = createTimes(100, speed);
      expect(times.firstEventTimeout(tokens)).toBeGreaterThan(
        100 + tokens / speed,
      );
    },
  );

  it('waits longer once all engines have become slow', () => {
    const times = createTimes(100, 112);
    for (let count = 0; count < 20; count++) times.observe(2_000, 1_500);
    expect(times.firstEventTimeout(2_000)).toBeGreaterThan(1_500);
  });

  it('knows nothing at first, and is patient with long prompts', () => {
    const times = new ResponseTimes(options);
    expect(times.firstEventTimeout(0)).toBe(1_000);
    expect(times.firstEventTimeout(4_000)).toBe(2_000);
    expect(times.firstEventTimeout(55_000)).toBe(3_000);
  });
});
