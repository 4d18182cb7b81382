import {describe, expect, it} from 'vitest';

import {ConcurrencyLimit} from '../src/concurrencyLimit.js';

/** Costs of a router's loop in milliseconds, and what its callers send. */
const readCost = 0.4;
const refuseCost = 0.3;
const eventCost = 0.15;
const eventsOfStream = 40;
const streamMilliseconds = 2_000;
const usualPerSecond = 20;
const surgePerSecond = 700;
const surgeStart = 2_000;
const surgeEnd = 8_000;
const dayMilliseconds = 12_000;

interface Arrival {
  workspace: string;
  at: number;
}

/**
 * One loop that reads requests in order of their arrival and relays the events
 * of open streams, which come first, as their sockets are ready.
 */
function playSurge(limit: ConcurrencyLimit | undefined) {
  const unread: Arrival[] = [];
  const streams: Array<{workspace: string; endsAt: number; nextAt: number}> =
    [];
  const asked = {quiet: 0, hot: 0};
  const refused = {quiet: 0, hot: 0};
  let longestUnread = 0;
  let credit = 0;
  for (let now = 0; now < dayMilliseconds; now++) {
    const isSurge = now >= surgeStart && now < surgeEnd;
    const rates = {
      quiet: usualPerSecond,
      hot: isSurge ? surgePerSecond : usualPerSecond,
    };
    for (const workspace of ['quiet', 'hot'] as const) {
      const due = ((now + 1) * rates[workspace]) / 1_000;
      const before = (now * rates[workspace]) / 1_000;
      const count = Math.floor(due) - Math.floor(before);
      for (let index = 0; index < count; index++) {
        unread.push({workspace, at: now});
        asked[workspace]++;
      }
    }
    credit = Math.min(1, credit + 1);
    const start = credit;
    for (const stream of [...streams]) {
      if (credit <= 0) break;
      if (stream.nextAt > now) continue;
      credit -= eventCost;
      stream.nextAt += streamMilliseconds / eventsOfStream;
      if (stream.nextAt < stream.endsAt) continue;
      streams.splice(streams.indexOf(stream), 1);
      limit?.end(stream.workspace);
    }
    while (credit > 0 && unread.length > 0) {
      const {workspace, at} = unread.shift()!;
      longestUnread = Math.max(longestUnread, now - at);
      if (limit !== undefined && !limit.admits(workspace)) {
        refused[workspace as 'quiet' | 'hot']++;
        credit -= refuseCost;
        continue;
      }
      limit?.begin(workspace);
      credit -= readCost;
      streams.push({workspace, endsAt: now + streamMilliseconds, nextAt: now});
    }
    limit?.observe(Math.min(1, start - Math.max(0, credit)), 1);
  }
  return {
    longestUnread,
    quietRefused: refused.quiet / asked.quiet,
    hotRefused: refused.hot,
  };
}

/** Time after which callers give up a request that isn't read. */
const patienceMilliseconds = 1_000;

// Pattern: one customer's surge at one router. Guards against requests that
// wait unread until their callers have left.
describe('ConcurrencyLimit in a surge of one workspace', () => {
  it('is needed: without it requests wait longer than callers do', () => {
    const {longestUnread} = playSurge(undefined);
    expect(longestUnread).toBeGreaterThan(patienceMilliseconds);
  });

  it('has every request read while its caller waits', () => {
    const {longestUnread, hotRefused} = playSurge(new ConcurrencyLimit());
    expect(longestUnread).toBeLessThan(patienceMilliseconds);
    expect(hotRefused).toBeGreaterThan(0);
  });

  it('serves the others as often as before', () => {
    // The users' pages let kinds of request differ by 5 in 100.
    expect(playSurge(new ConcurrencyLimit()).quietRefused).toBeLessThan(0.05);
  });
});

describe('ConcurrencyLimit', () => {
  function limitWith(open: Readonly<Record<string, number>>) {
    const limit = new ConcurrencyLimit({minOpenRequests: 10});
    for (const [workspace, count] of Object.entries(open)) {
      for (let index = 0; index < count; index++) limit.begin(workspace);
    }
    return limit;
  }

  it('admits everything while the processor has time', () => {
    const limit = limitWith({a: 10_000});
    limit.observe(0.8, 10_000);
    expect(limit.admits('a')).toBe(true);
  });

  it('is not moved by one short pause of the loop', () => {
    const limit = limitWith({a: 100});
    limit.observe(0.3, 1_000);
    limit.observe(1, 50);
    expect(limit.admits('a')).toBe(true);
  });

  const busy: Array<[string, Record<string, number>, string, boolean]> = [
    ['another request of a full router', {a: 100}, 'a', false],
    ['one below the least', {a: 9}, 'a', true],
    ['a workspace without one', {a: 97, b: 1}, 'c', true],
    ['a workspace near its share', {a: 60, b: 40}, 'b', false],
  ];

  it.each(busy)('decides for %s', (_name, open, workspace, isAdmitted) => {
    const limit = limitWith(open);
    limit.observe(1, 10_000);
    expect(limit.admits(workspace)).toBe(isAdmitted);
  });

  it('ends at nothing when all requests have ended', () => {
    const limit = limitWith({a: 2, b: 1});
    for (const workspace of ['a', 'b', 'a']) limit.end(workspace);
    expect(limit.open).toBe(0);
  });
});
