import {describe, expect, it} from 'vitest';

import {ConcurrencyLimit} from '../src/concurrencyLimit.js';

/** Processor time of a router's event loop in milliseconds, and its load. */
const readCost = 0.4;
const refuseCost = 0.3;
const eventCost = 0.15;
const eventsPerStream = 40;
const streamMilliseconds = 2_000;
const usualPerSecond = 20;
const surgePerSecond = 700;
const surgeStart = 2_000;
const surgeEnd = 8_000;
const simulatedMilliseconds = 12_000;

interface Arrival {
  workspace: string;
  at: number;
}

/**
 * Simulates an event loop that reads requests in order of their arrival and
 * relays the events of open streams. Streams come first, as their sockets are
 * ready.
 */
function simulateSurge(limit: ConcurrencyLimit | undefined) {
  const unread: Arrival[] = [];
  const streams: Array<{workspace: string; endsAt: number; nextAt: number}> =
    [];
  const sent = {quiet: 0, hot: 0};
  const refused = {quiet: 0, hot: 0};
  let longestUnread = 0;
  let loopTime = 0;
  for (let now = 0; now < simulatedMilliseconds; now++) {
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
        sent[workspace]++;
      }
    }
    loopTime = Math.min(1, loopTime + 1);
    const start = loopTime;
    for (const stream of [...streams]) {
      if (loopTime <= 0) break;
      if (stream.nextAt > now) continue;
      loopTime -= eventCost;
      stream.nextAt += streamMilliseconds / eventsPerStream;
      if (stream.nextAt < stream.endsAt) continue;
      streams.splice(streams.indexOf(stream), 1);
      limit?.end(stream.workspace);
    }
    while (loopTime > 0 && unread.length > 0) {
      const {workspace, at} = unread.shift()!;
      longestUnread = Math.max(longestUnread, now - at);
      if (limit !== undefined && !limit.admits(workspace)) {
        refused[workspace as 'quiet' | 'hot']++;
        loopTime -= refuseCost;
        continue;
      }
      limit?.begin(workspace);
      loopTime -= readCost;
      streams.push({workspace, endsAt: now + streamMilliseconds, nextAt: now});
    }
    limit?.observe(Math.min(1, start - Math.max(0, loopTime)), 1);
  }
  return {
    longestUnread,
    quietRefused: refused.quiet / sent.quiet,
    hotRefused: refused.hot,
  };
}

/** Time after which callers abandon an unread request. */
const callerTimeoutMilliseconds = 1_000;

// Guards against requests that wait unread until their callers have
// disconnected, when the surge of one customer reaches a single router.
describe('ConcurrencyLimit in a surge of one workspace', () => {
  it('is needed, as requests otherwise wait longer than their callers', () => {
    const {longestUnread} = simulateSurge(undefined);
    expect(longestUnread).toBeGreaterThan(callerTimeoutMilliseconds);
  });

  it('lets every request be read before its caller gives up', () => {
    const {longestUnread, hotRefused} = simulateSurge(new ConcurrencyLimit());
    expect(longestUnread).toBeLessThan(callerTimeoutMilliseconds);
    expect(hotRefused).toBeGreaterThan(0);
  });

  it('hardly refuses requests of other workspaces', () => {
    // The users' requirements allow a difference of 5% between kinds of requests.
    expect(simulateSurge(new ConcurrencyLimit()).quietRefused).toBeLessThan(
      0.05,
    );
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

  it('admits everything below the target utilization', () => {
    const limit = limitWith({a: 10_000});
    limit.observe(0.8, 10_000);
    expect(limit.admits('a')).toBe(true);
  });

  it('ignores one short pause of the event loop', () => {
    const limit = limitWith({a: 100});
    limit.observe(0.3, 1_000);
    limit.observe(1, 50);
    expect(limit.admits('a')).toBe(true);
  });

  const busy: Array<[string, Record<string, number>, string, boolean]> = [
    ['another request of a full router', {a: 100}, 'a', false],
    ['a request below the least limit', {a: 9}, 'a', true],
    ['a workspace without open requests', {a: 97, b: 1}, 'c', true],
    ['a workspace near its share', {a: 60, b: 40}, 'b', false],
  ];

  it.each(busy)('decides for %s', (_name, open, workspace, isAdmitted) => {
    const limit = limitWith(open);
    limit.observe(1, 10_000);
    expect(limit.admits(workspace)).toBe(isAdmitted);
  });

  it('counts no open requests when all have ended', () => {
    const limit = limitWith({a: 2, b: 1});
    for (const workspace of ['a', 'b', 'a']) limit.end(workspace);
    expect(limit.open).toBe(0);
  });
});
