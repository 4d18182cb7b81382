/** @fileoverview Tests what a router knows of a server's limit. */
import {describe, expect, it} from 'vitest';

import {
  KnownLimit,
  type LimitChange,
  maxLimitAge,
  maxPerSecond,
  minPerSecond,
} from '../src/index.js';

/** A response: when its request was sent, when it arrived, what it states. */
type Response = [
  sentAt: number,
  arrivedAt: number,
  stated: number | 'unreadable' | undefined,
];

function play(responses: Response[], isCertain = true) {
  const limit = new KnownLimit();
  const changes = responses.map(([sentAt, now, stated]) =>
    limit.recordResponse(
      stated === undefined
        ? undefined
        : {perSecond: stated === 'unreadable' ? undefined : stated},
      {sentAt, now, isCertain},
    ),
  );
  return {limit, changes};
}

describe('a known limit', () => {
  it.each<
    [
      string,
      Response[],
      Array<LimitChange | undefined>,
      perSecond: number | undefined,
    ]
  >([
    ['is named', [[0, 10, 2]], ['named'], 2],
    [
      'ends with a response that does not name it',
      [
        [0, 10, 2],
        [20, 30, undefined],
      ],
      ['named', 'ended'],
      undefined,
    ],
    [
      'outlives a response to a request sent before it was named',
      [
        [0, 10, 2],
        [5, 30, undefined],
      ],
      ['named', undefined],
      2,
    ],
    [
      'falls at once, whatever was sent first',
      [
        [0, 10, 4],
        [5, 20, 2],
      ],
      ['named', 'changed'],
      2,
    ],
    [
      'rises only by a response to a later request',
      [
        [0, 10, 2],
        [5, 20, 4],
        [15, 30, 4],
      ],
      ['named', undefined, 'changed'],
      4,
    ],
    [
      'stays as it is when the value is unreadable',
      [
        [0, 10, 2],
        [20, 30, 'unreadable'],
      ],
      ['named', 'unreadable'],
      2,
    ],
    [
      'is not named by an unreadable value',
      [[0, 10, 'unreadable']],
      ['unreadable'],
      undefined,
    ],
    ['of zero still allows a request', [[0, 10, 0]], ['named'], minPerSecond],
    ['of a huge value is bounded', [[0, 10, 1e300]], ['named'], maxPerSecond],
  ])('%s', (_, responses, changes, perSecond) => {
    const played = play(responses);
    expect(played.changes).toEqual(changes);
    expect(played.limit.perSecond).toBe(perSecond);
  });

  it('is not ended by a response of an unknown origin', () => {
    const {limit} = play([[0, 10, 2]]);
    const context = {sentAt: 20, now: 30, isCertain: false};
    expect(limit.recordResponse(undefined, context)).toBeUndefined();
    expect(limit.perSecond).toBe(2);
  });

  it('follows reports that are newer than its own observation', () => {
    const {limit} = play([[0, 10, 2]]);
    expect(limit.recordReport(undefined, 5)).toBeUndefined();
    expect(limit.recordReport(undefined, 20)).toBe('ended');
    // A report of an older observation arrives late.
    expect(limit.recordReport(2, 15)).toBeUndefined();
    expect(limit.recordReport(3, 25)).toBe('named');
    expect(limit.observation?.source).toBe('report');
  });

  it('is dropped once nobody has observed it for long', () => {
    const {limit} = play([[0, 10, 2]]);
    expect(limit.expire(10 + maxLimitAge(2))).toBeUndefined();
    expect(limit.expire(11 + maxLimitAge(2))).toBe('ended');
    expect(limit.perSecond).toBeUndefined();
  });
});
