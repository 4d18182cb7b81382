/** @fileoverview What counts against a part of prompts, and what clears it. */
import {describe, expect, it} from 'vitest';

import {CrashingParts} from '../src/index.js';

/** Reports a crash with one open prompt. */
function crash(
  search: CrashingParts,
  now: number,
  {server = `s-${now}`, part = 'p-1', workspace = 'desk', prompt = now} = {},
): string[] {
  const parts = [{id: part, workspaces: [workspace], prompts: [prompt]}];
  const report = {server, startedAt: 1, ageMilliseconds: 0, parts};
  return search.record(report, now);
}

const times = [1_000, 2_000, 3_000, 4_000];

describe('a part', () => {
  it('is suspected after two crashes, and crashes servers after four', () => {
    const search = new CrashingParts();
    expect(times.map(now => crash(search, now))).toEqual([[], ['p-1'], [], []]);
    expect(search.decided(4_000)).toMatchObject([
      {part: 'p-1', workspace: 'desk', crashes: 4},
    ]);
  });

  it('waits until routers could report whole answers', () => {
    const search = new CrashingParts();
    for (const now of [1_000, 1_250, 1_500, 1_750]) crash(search, now);
    expect(search.decided(1_700)).toEqual([]);
    expect(search.decided(1_750)).toHaveLength(1);
  });

  it.each([
    ['crashes at the same time', [1_000, 1_050, 1_100, 1_150], {}],
    ['one incarnation at several routers', times, {server: 's-1'}],
    ['retries of one prompt', times, {prompt: 7}],
  ])('is not blamed for %s', (_, moments, fields) => {
    const search = new CrashingParts();
    for (const now of moments) crash(search, now, fields);
    expect(search.decided(9_000)).toEqual([]);
  });

  // Guards against a shared part that is blocked for the crashes of another one
  // (issue 34).
  it('is cleared by a whole answer, also for later crashes', () => {
    const search = new CrashingParts();
    for (const now of times) crash(search, now);
    search.recordAnswer('p-1', 4_100);
    for (const now of [5_000, 6_000, 7_000, 8_000]) crash(search, now);
    expect(search.suspects()).toEqual([]);
    expect(search.decided(9_000)).toEqual([]);
  });

  it('of several workspaces belongs to none', () => {
    const search = new CrashingParts();
    times.forEach((now, index) => {
      crash(search, now, {workspace: index === 2 ? 'camp' : 'desk'});
    });
    expect(search.decided(4_000)[0]?.workspace).toBeUndefined();
  });

  it('is forgotten beyond the limit', () => {
    const search = new CrashingParts({maxParts: 2});
    for (const part of ['p-1', 'p-2', 'p-3']) crash(search, 1_000, {part});
    expect(crash(search, 2_000, {part: 'p-1'})).toEqual([]);
    expect(crash(search, 2_000, {part: 'p-3'})).toEqual(['p-3']);
  });

  it('is blamed with another one at the same crashes', () => {
    const search = new CrashingParts();
    for (const now of times) {
      crash(search, now, {part: 'p-1'});
      crash(search, now, {part: 'p-2'});
    }
    expect(search.decided(4_000)).toHaveLength(2);
  });
});
