/** @fileoverview A timeout that follows measured times. */
import {describe, expect, it} from 'vitest';

import {AdaptiveTimeout} from '../src/index.js';

const bounds = {minMilliseconds: 400, maxMilliseconds: 2_000};

function createTimeout(times: readonly number[]): AdaptiveTimeout {
  const timeout = new AdaptiveTimeout(bounds);
  for (const milliseconds of times) timeout.record(milliseconds);
  return timeout;
}

function repeat(milliseconds: number, count: number): number[] {
  return Array.from({length: count}, () => milliseconds);
}

describe('an adaptive timeout', () => {
  it.each([
    ['is the least one without a measured time', [], 400],
    ['is the least one for short times', repeat(6, 50), 400],
    ['is the longest one for times beyond it', repeat(5_000, 5), 2_000],
  ])('%s', (_, times, expected) => {
    expect(createTimeout(times).milliseconds).toBe(expected);
  });

  // Guards against connections that time out for good, as the queue of a busy
  // link is longer than their time limit (issue 37).
  it('exceeds times that have become longer', () => {
    const times = [...repeat(6, 50), ...repeat(900, 2)];
    expect(createTimeout(times).milliseconds).toBeGreaterThan(900);
  });

  it('falls again with the times', () => {
    const times = [...repeat(900, 20), ...repeat(6, 60)];
    expect(createTimeout(times).milliseconds).toBe(400);
  });
});
