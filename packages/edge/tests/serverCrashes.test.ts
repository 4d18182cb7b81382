/**
 * @fileoverview How a router tells crashes of servers from resets, and what it
 * reports of them.
 */
import {MetricsRegistry, silentLogger} from '@dogwoodtrestle/runtime';
import {type BackendServerRecord} from '@dogwoodtrestle/schema';
import {describe, expect, it} from 'vitest';

import {CrashSubjects} from '../src/crashSubjects.js';
import {ServerCrashes} from '../src/serverCrashes.js';

const record: BackendServerRecord = {
  id: 's-1',
  startedAt: 1,
  sequence: 1,
  service: 'llm',
  address: '10.0.0.1:1',
  state: 'ready',
  slots: 8,
};

function createClock() {
  let now = 1_000;
  let timers: Array<{at: number; run: () => void}> = [];
  return {
    now: () => now,
    wallNow: () => now,
    setTimer: (milliseconds: number, run: () => void) => {
      timers.push({at: now + milliseconds, run});
      return () => undefined;
    },
    advance: async (milliseconds: number) => {
      now += milliseconds;
      const due = timers.filter(({at}) => at <= now);
      timers = timers.filter(({at}) => at > now);
      for (const {run} of due) run();
      await Promise.resolve();
      await Promise.resolve();
    },
  };
}

function createCrashes(isRefused: boolean) {
  const clock = createClock();
  const crashes = new ServerCrashes({
    clock,
    logger: silentLogger,
    metrics: new MetricsRegistry(),
    isRefused: () => Promise.resolve(isRefused),
  });
  const breakOff = (id: string, events = 0) => {
    const prompt = {subjects: [id], workspace: 'desk', hash: 1, events};
    crashes.begin(record, prompt);
    crashes.end(record, prompt, 'broken');
  };
  const reported = (epoch = 'leader-1') =>
    crashes
      .report(epoch)
      .fields.crashes?.flatMap(({parts}) => parts.map(({id}) => id)) ?? [];
  return {clock, crashes, breakOff, reported};
}

describe('connections that a server closed', () => {
  it('are a crash if it then refuses a connection', async () => {
    const {clock, breakOff, reported} = createCrashes(true);
    breakOff('p-1');
    breakOff('p-2', 5);
    await clock.advance(50);
    // The answer to the second one had gone far.
    expect(reported()).toEqual(['p-1']);
  });

  it('are no crash if it accepts a connection', async () => {
    const {clock, breakOff, reported} = createCrashes(false);
    breakOff('p-1');
    await clock.advance(50);
    expect(reported()).toEqual([]);
  });

  it('are a crash if a successor is announced at its address', async () => {
    const {crashes, breakOff, reported} = createCrashes(false);
    breakOff('p-1');
    crashes.observeRecords([{...record, id: 's-2', startedAt: 2}]);
    expect(reported()).toEqual(['p-1']);
  });

  // Guards against evidence that a new leader never hears of (issue 34).
  it('are reported to each leader once', async () => {
    const {clock, crashes, breakOff, reported} = createCrashes(true);
    breakOff('p-1');
    await clock.advance(50);
    crashes.report('leader-1').onReceived?.('leader-1');
    expect(reported('leader-1')).toEqual([]);
    expect(reported('leader-2')).toEqual(['p-1']);
  });
});

describe('a blocked part', () => {
  function createParts(workspace?: string) {
    const parts = new CrashSubjects(createClock(), silentLogger);
    const blocked = {part: 'p-1', blockedAt: 0, crashes: 4, workspace};
    const blockedParts = {revision: 1, parts: [blocked]};
    parts.apply({
      kind: 'update',
      replicas: [],
      routers: 1,
      peersRevision: 0,
      blockedParts,
    });
    return parts;
  }
  const prompt = (workspace: string, part = 'p-1') => ({
    subjects: ['shared', part],
    workspace,
    trials: new Set<string>(),
  });

  it('blocks prompts with it, and no others', () => {
    const parts = createParts();
    expect(parts.findBlocked(prompt('desk'))).toBe('p-1');
    expect(parts.findBlocked(prompt('desk', 'p-2'))).toBeUndefined();
  });

  // Guards against a caller that gets another's part blocked (issue 34).
  it('of one workspace blocks no other one', () => {
    const parts = createParts('desk');
    expect(parts.findBlocked(prompt('desk'))).toBe('p-1');
    expect(parts.findBlocked(prompt('camp'))).toBeUndefined();
  });

  it('allows one prompt during a trial', () => {
    const parts = createParts();
    parts.apply({
      kind: 'update',
      replicas: [],
      routers: 1,
      peersRevision: 0,
      trialParts: ['p-1'],
    });
    const tried = prompt('desk');
    expect(parts.findBlocked(tried)).toBeUndefined();
    expect(parts.findBlocked(tried)).toBeUndefined();
    expect(parts.findBlocked(prompt('desk'))).toBe('p-1');
  });

  it('is reported if a prompt with it was answered whole', () => {
    const parts = createParts();
    expect(parts.report().fields.answeredParts).toBeUndefined();
    parts.recordAnswer(['shared', 'p-1']);
    expect(parts.report().fields).toEqual({
      answeredParts: ['p-1'],
      blockedRevision: 1,
    });
  });
});
