/** @fileoverview What counts against a part or a request, and what clears it. */
import {describe, expect, it} from 'vitest';

import {CrashingSubjects, requestSubject} from '../src/index.js';

/** Reports a crash with one open prompt. */
function crash(
  search: CrashingSubjects,
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
    const search = new CrashingSubjects();
    expect(times.map(now => crash(search, now))).toEqual([[], ['p-1'], [], []]);
    expect(search.decided(4_000)).toMatchObject([
      {subject: 'p-1', workspace: 'desk', crashes: 4},
    ]);
  });

  it('waits until routers could report whole answers', () => {
    const search = new CrashingSubjects();
    for (const now of [1_000, 1_250, 1_500, 1_750]) crash(search, now);
    expect(search.decided(1_700)).toEqual([]);
    expect(search.decided(1_750)).toHaveLength(1);
  });

  it.each([
    ['crashes at the same time', [1_000, 1_050, 1_100, 1_150], {}],
    ['one incarnation at several routers', times, {server: 's-1'}],
    ['retries of one prompt', times, {prompt: 7}],
  ])('is not blamed for %s', (_, moments, fields) => {
    const search = new CrashingSubjects();
    for (const now of moments) crash(search, now, fields);
    expect(search.decided(9_000)).toEqual([]);
  });

  // Guards against a shared part that is blocked for the crashes of another one
  // (issue 34).
  it('is cleared by a whole answer, also for later crashes', () => {
    const search = new CrashingSubjects();
    for (const now of times) crash(search, now);
    search.recordAnswer('p-1', 4_100);
    for (const now of [5_000, 6_000, 7_000, 8_000]) crash(search, now);
    expect(search.suspects()).toEqual([]);
    expect(search.decided(9_000)).toEqual([]);
  });

  it('of several workspaces belongs to none', () => {
    const search = new CrashingSubjects();
    times.forEach((now, index) => {
      crash(search, now, {workspace: index === 2 ? 'camp' : 'desk'});
    });
    expect(search.decided(4_000)[0]?.workspace).toBeUndefined();
  });

  it('is forgotten beyond the limit', () => {
    const search = new CrashingSubjects({maxSubjects: 2});
    for (const part of ['p-1', 'p-2', 'p-3']) crash(search, 1_000, {part});
    expect(crash(search, 2_000, {part: 'p-1'})).toEqual([]);
    expect(crash(search, 2_000, {part: 'p-3'})).toEqual(['p-3']);
  });

  it('is blamed with another one that other prompts had', () => {
    const search = new CrashingSubjects();
    for (const now of times) {
      crash(search, now, {part: 'p-1', prompt: now});
      crash(search, now, {part: 'p-2', prompt: -now});
    }
    expect(search.decided(4_000)).toMatchObject([
      {subject: 'p-1', companions: []},
      {subject: 'p-2', companions: []},
    ]);
  });
});

// Guards against a sound part that is refused with one that crashes servers, as
// all prompts with the latter have both (issue 46).
describe('parts that only come together', () => {
  const names = ['shared', 'harmful'];

  /** Records a crash with one prompt that has all the parts. */
  function crashTogether(
    search: CrashingSubjects,
    now: number,
    parts: readonly string[] = names,
  ): void {
    for (const part of parts) crash(search, now, {part});
  }

  function createSearch(): CrashingSubjects {
    const search = new CrashingSubjects();
    for (const now of times) crashTogether(search, now);
    return search;
  }

  /** A search whose parts were blocked together. */
  function createBlocked(): CrashingSubjects {
    const search = createSearch();
    search.recordJointBlock(names, 4_000);
    return search;
  }

  it('are blocked together after as many crashes as one', () => {
    expect(createSearch().decided(4_000)).toMatchObject([
      {subject: 'harmful', companions: ['shared'], crashes: 4},
    ]);
  });

  it('are told apart by a whole answer', () => {
    const search = createBlocked();
    search.recordAnswer('shared', 5_000);
    expect(search.decided(5_000)).toMatchObject([
      {subject: 'harmful', companions: []},
    ]);
  });

  it.each(names)('are told apart by a crash with one of them: %s', part => {
    const search = createBlocked();
    crash(search, 6_000, {part});
    const alone = search
      .decided(6_500)
      .filter(({companions}) => companions.length === 0);
    expect(alone).toMatchObject([{subject: part, crashes: 5}]);
  });

  it('are told from one that also was in other prompts', () => {
    const search = new CrashingSubjects();
    for (const now of times) {
      crashTogether(search, now);
      crash(search, now, {part: 'shared', prompt: now + 1});
    }
    expect(search.decided(4_000)).toMatchObject([
      {subject: 'harmful', companions: ['shared']},
    ]);
  });

  it('are told from one that was open at other crashes as well', () => {
    const search = new CrashingSubjects();
    crash(search, 500, {part: 'shared'});
    for (const now of times) crashTogether(search, now);
    crash(search, 4_500, {part: 'shared'});
    expect(search.decided(5_000)).toMatchObject([
      {subject: 'harmful', companions: ['shared']},
    ]);
  });

  it('are three if each prompt has three of them', () => {
    const search = new CrashingSubjects();
    const three = ['first', 'second', 'third'];
    for (const now of times) crashTogether(search, now, three);
    expect(search.decided(4_000)).toMatchObject([
      {subject: 'third', companions: ['first', 'second']},
    ]);
  });
});

describe('a request', () => {
  const request = requestSubject('r-1');

  // Guards against one request that comes again and crashes one server after the
  // other, as it counts as one prompt and has no shared part (issue 37).
  it('crashes servers after three crashes, though it is one prompt', () => {
    const search = new CrashingSubjects();
    for (const now of [1_000, 2_000, 3_000]) {
      crash(search, now, {part: request, prompt: 7});
    }
    expect(search.decided(3_000)).toMatchObject([
      {subject: request, workspace: 'desk', crashes: 3},
    ]);
  });

  it('is not blamed for what it was sent together with', () => {
    const search = new CrashingSubjects();
    const companion = requestSubject('r-2');
    for (const now of [1_000, 2_000, 3_000]) {
      crash(search, now, {part: request});
      crash(search, now, {part: companion});
    }
    expect(search.decided(4_000)).toEqual([]);
    search.recordAnswer(companion, 4_000);
    expect(search.decided(4_000)).toMatchObject([{subject: request}]);
  });

  // Guards against hundreds of refused requests for one part (issue 37).
  it('is not blamed while a part that others have may be the cause', () => {
    const search = new CrashingSubjects();
    for (const now of [1_000, 2_000, 3_000]) {
      crash(search, now, {part: request, prompt: 7});
      crash(search, now, {part: 'p-1', prompt: now});
    }
    expect(search.decided(4_000)).toEqual([]);
    crash(search, 4_000, {part: 'p-1', prompt: 8});
    expect(search.decided(4_000)).toMatchObject([{subject: 'p-1'}]);
    search.forget('p-1', 4_000);
    expect(search.suspects()).toEqual([]);
  });

  // Guards against a part whose requests are blocked one by one (issue 37).
  it('leaves its crashes to count against the part that it has', () => {
    const search = new CrashingSubjects();
    const send = (now: number, name: string, prompt: number) => {
      crash(search, now, {part: requestSubject(name), prompt});
      crash(search, now, {part: 'p-1', prompt});
    };
    for (const now of [1_000, 2_000, 3_000]) send(now, 'r-1', 1);
    const [found] = search.decided(3_000);
    expect(found?.subject).toBe(requestSubject('r-1'));
    search.forget(found?.subject ?? '', 3_000);
    send(4_000, 'r-2', 2);
    send(5_000, 'r-3', 3);
    expect(search.decided(5_000)).toMatchObject([{subject: 'p-1'}]);
  });

  it('takes more crashes while servers crash without it', () => {
    const search = new CrashingSubjects();
    for (const now of [1_000, 2_000, 3_000, 4_000]) {
      crash(search, now, {part: request});
      crash(search, now + 500, {part: requestSubject(`other-${now}`)});
    }
    expect(search.decided(4_500)).toEqual([]);
    crash(search, 5_000, {part: request});
    expect(search.decided(5_000)).toMatchObject([{subject: request}]);
  });

  it('is remembered longer than a part', () => {
    const search = new CrashingSubjects();
    const rare = [1_000, 120_000, 240_000];
    for (const now of rare) crash(search, now, {part: request});
    expect(search.decided(240_000)).toHaveLength(1);
  });
});
