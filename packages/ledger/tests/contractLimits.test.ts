/** @fileoverview Tests rate and concurrency limits. */
import {describe, expect, it} from 'vitest';

import {
  LedgerFixture,
  openRequestCommand,
  settleRequestCommand,
} from './fixtures.js';

/** Opens requests with distinct keys; returns result kinds or refusal codes. */
function openMany(fixture: LedgerFixture, prefix: string, count: number) {
  return Array.from({length: count}, (_, number) => {
    const result = fixture.apply(
      openRequestCommand({requestKey: `${prefix}${number}`}),
    );
    return result.kind === 'refused' ? result.code : result.kind;
  });
}

const opened = (count: number) => Array<string>(count).fill('opened');

describe('contract limits', () => {
  it('limit the concurrent requests of a customer', () => {
    const fixture = LedgerFixture.withContract({
      limits: {concurrentRequests: 2},
    });
    expect(openMany(fixture, 'a', 3)).toEqual([
      ...opened(2),
      'concurrencyLimited',
    ]);
    fixture.apply(settleRequestCommand({requestKey: 'barley/desk/a0'}));
    expect(openMany(fixture, 'b', 2)).toEqual(['opened', 'concurrencyLimited']);
  });

  it('limit the rate across all instances and return a retry delay', () => {
    const fixture = LedgerFixture.withContract({
      limits: {requestsPerSecond: 4},
    });
    expect(openMany(fixture, 'a', 5)).toEqual([...opened(4), 'rateLimited']);
    const refused = fixture.apply(openRequestCommand({requestKey: 'late'}));
    expect(refused).toMatchObject({retryAfterMilliseconds: 250});
    fixture.apply({kind: 'advanceTime'}, 500);
    expect(openMany(fixture, 'b', 3)).toEqual([...opened(2), 'rateLimited']);
  });
});
