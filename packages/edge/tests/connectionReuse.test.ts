/**
 * @fileoverview Tests for how long a server's connections carry one request each.
 */
import {describe, expect, it} from 'vitest';

import {
  ConnectionReuse,
  defaultConnectionReuseOptions,
} from '../src/connectionReuse.js';

const {pauseMilliseconds, maxPauseMilliseconds} = defaultConnectionReuseOptions;

/** Returns for how long connections aren't reused after bytes at given times. */
function pauseAfter(...times: number[]): number {
  const reuse = new ConnectionReuse();
  for (const time of times) reuse.pause(time);
  const last = times.at(-1) ?? 0;
  let milliseconds = 0;
  while (!reuse.isAllowed(last + milliseconds)) milliseconds += 1_000;
  return milliseconds;
}

/** Times of bytes, each of which come as soon as connections are reused. */
function repeatedTimes(count: number): number[] {
  const times: number[] = [];
  for (let turn = 0; turn < count; turn++) {
    times.push((times.at(-1) ?? 0) + (turn === 0 ? 0 : pauseAfter(...times)));
  }
  return times;
}

describe('the reuse of connections', () => {
  it.each<[string, number[], number]>([
    ['is allowed without unexpected bytes', [], 0],
    ['pauses after some', [0], pauseMilliseconds],
    ['starts its pause anew after more', [0, 10, 20], pauseMilliseconds],
    ['pauses longer each time', repeatedTimes(3), 4 * pauseMilliseconds],
    ['pauses for a bounded time', repeatedTimes(20), maxPauseMilliseconds],
    [
      'is trusted as before after a long time without any',
      [0, pauseMilliseconds, 4 * maxPauseMilliseconds],
      pauseMilliseconds,
    ],
  ])('%s', (_, times, expected) => {
    expect(pauseAfter(...times)).toBe(expected);
  });
});
