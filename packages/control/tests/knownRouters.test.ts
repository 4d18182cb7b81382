/**
 * @fileoverview Tests what a leader knows about the routers that follow it, and
 * whom it asks to refresh.
 */
import {
  type Logger,
  MetricsRegistry,
  type PeerCallClient,
  silentLogger,
  systemClock,
} from '@dogwoodtrestle/runtime';
import {type WatchRequest} from '@dogwoodtrestle/schema';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {KnownRouters, type StateVersions} from '../src/knownRouters.js';
import {RouterRefresher} from '../src/routerRefresher.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Time in a term after which all routers are known. */
const discoveredMilliseconds = 1_700;

function createVersions(revision: number): StateVersions {
  return {configurationVersion: 1, epoch: 'e', revision};
}

function createRequest(router: string, revision: number): WatchRequest {
  return {
    router,
    address: `${router.split('#')[0]}:1`,
    peersRevision: -1,
    ...createVersions(revision),
  };
}

/** Creates routers that all have revision 1. */
function createRouters(names: readonly string[], logger = silentLogger) {
  const metrics = new MetricsRegistry();
  const options = {
    clock: systemClock,
    logger,
    metrics,
    routerLostAfterMilliseconds: 5_000,
  };
  const group = {term: 1};
  const routers = new KnownRouters(options, group);
  routers.update(createVersions(1));
  vi.advanceTimersByTime(discoveredMilliseconds);
  for (const name of names) routers.record(createRequest(name, 1));
  const calls: Array<{to: string; at: number}> = [];
  const startedAt = systemClock.now();
  let isAnswering = true;
  const client = {
    call: async (to: string) => {
      calls.push({to, at: Math.round(systemClock.now() - startedAt)});
      if (!isAnswering) await new Promise(() => undefined);
      return {};
    },
  } as unknown as PeerCallClient;
  const refresher = new RouterRefresher(
    options,
    client,
    {isConfirmedLeader: true},
    routers,
  );
  const runFor = async (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += 50) {
      await vi.advanceTimersByTimeAsync(50);
      refresher.refresh();
    }
  };
  const silence = () => {
    isAnswering = false;
  };
  return {routers, group, refresher, calls, runFor, silence, metrics};
}

function namesOf(routers: KnownRouters): string[] {
  return routers.behind().map(({name}) => name);
}

async function isResolved(promise: Promise<void>): Promise<boolean> {
  let isDone = false;
  void promise.then(() => {
    isDone = true;
  });
  await vi.advanceTimersByTimeAsync(0);
  return isDone;
}

describe('the routers that lack a change', () => {
  it('are those that have not confirmed it, the last heard first', async () => {
    const {routers} = createRouters(['r-1', 'r-2', 'r-3']);
    expect(namesOf(routers)).toEqual([]);
    routers.update(createVersions(2));
    await vi.advanceTimersByTimeAsync(100);
    routers.record(createRequest('r-1', 2));
    routers.update(createVersions(3));
    expect(namesOf(routers)).toEqual(['r-1', 'r-2', 'r-3']);
    routers.record(createRequest('r-2', 3));
    expect(namesOf(routers)).toEqual(['r-1', 'r-3']);
  });

  it('are counted where only another call tells of them', () => {
    const {routers} = createRouters(['r-1']);
    routers.note({router: 'r-1', address: 'r-1:1'});
    expect(namesOf(routers)).toEqual([]);
    routers.note({router: 'r-2', address: 'r-2:1'});
    expect(namesOf(routers)).toEqual(['r-2']);
    expect(routers.addresses).toEqual(['r-1:1', 'r-2:1']);
  });

  it('do not regress by a request that arrives late', () => {
    const {routers} = createRouters(['r-1']);
    routers.update(createVersions(2));
    routers.record(createRequest('r-1', 2));
    routers.record(createRequest('r-1', 1));
    expect(namesOf(routers)).toEqual([]);
  });

  it('are not those whose successor runs, or that are lost', async () => {
    const {routers} = createRouters(['r-1#1', 'r-2']);
    routers.record(createRequest('r-1#2', 1));
    routers.update(createVersions(2));
    expect(namesOf(routers)).toEqual(['r-2', 'r-1#2']);
    await vi.advanceTimersByTimeAsync(5_001);
    expect(namesOf(routers)).toEqual([]);
    expect(routers.addresses).toEqual([]);
  });

  it('are logged after a second, and once they have caught up', async () => {
    const lines: string[] = [];
    const log = (_: object, message: string) => lines.push(message);
    const logger = {...silentLogger, info: log, warn: log} as Logger;
    const {routers, runFor, metrics} = createRouters(['r-1'], logger);
    routers.update(createVersions(2));
    await runFor(900);
    expect(lines).toEqual([]);
    await runFor(1_000);
    expect(lines).toEqual(['router lacks a change']);
    routers.record(createRequest('r-1', 2));
    expect(lines).toEqual(['router lacks a change', 'router has caught up']);
    const text = metrics.render();
    expect(text).toContain('dogwoodtrestle_routers_behind_total 1');
    expect(text).toContain(
      'dogwoodtrestle_change_confirmation_milliseconds_count 1',
    );
  });
});

describe('an acknowledgement', () => {
  // Guards against a change that is acknowledged while routers that are heard
  // still act on the state before.
  it('waits until all routers have the change', async () => {
    const {routers} = createRouters(['r-1', 'r-2']);
    routers.update(createVersions(2));
    const wait = routers.waitUntilApplied(createVersions(2), 300);
    expect(await isResolved(wait)).toBe(false);
    routers.record(createRequest('r-1', 2));
    expect(await isResolved(wait)).toBe(false);
    routers.record(createRequest('r-2', 2));
    expect(await isResolved(wait)).toBe(true);
  });

  it('waits for a limited time', async () => {
    const {routers} = createRouters(['r-1']);
    const wait = routers.waitUntilApplied(createVersions(2), 300);
    await vi.advanceTimersByTimeAsync(299);
    expect(await isResolved(wait)).toBe(false);
    await vi.advanceTimersByTimeAsync(1);
    expect(await isResolved(wait)).toBe(true);
  });

  it('does not wait for routers that are silent', async () => {
    const {routers} = createRouters(['r-1']);
    await vi.advanceTimersByTimeAsync(1_300);
    const wait = routers.waitUntilApplied({configurationVersion: 2}, 300);
    expect(await isResolved(wait)).toBe(true);
  });

  // Guards against a new leader that knows no routers yet, and acknowledges as
  // if none acted on the state before.
  it('waits as long as it may where the routers are not known yet', async () => {
    const {routers, group} = createRouters(['r-1']);
    group.term = 2;
    const wait = routers.waitUntilApplied(createVersions(1), 300);
    await vi.advanceTimersByTimeAsync(299);
    expect(await isResolved(wait)).toBe(false);
    await vi.advanceTimersByTimeAsync(1);
    expect(await isResolved(wait)).toBe(true);
  });
});

describe('a router that lacks a change', () => {
  // Guards against a router that acts on an old copy as the reply to its only
  // watch call is lost.
  it('is asked to refresh after 150 ms, and again every 300 ms', async () => {
    const {routers, runFor, calls} = createRouters(['r-1', 'r-2']);
    routers.record(createRequest('r-2', 2));
    routers.update(createVersions(2));
    await runFor(1_000);
    expect(calls).toEqual([
      {to: 'r-1:1', at: 150},
      {to: 'r-1:1', at: 450},
      {to: 'r-1:1', at: 750},
    ]);
  });

  it('is asked later where confirmations take long', async () => {
    const {routers, runFor, calls} = createRouters(['r-1', 'r-2']);
    routers.update(createVersions(2));
    await vi.advanceTimersByTimeAsync(200);
    routers.record(createRequest('r-1', 2));
    routers.record(createRequest('r-2', 2));
    expect(routers.usualConfirmationMilliseconds).toBe(200);
    routers.update(createVersions(3));
    await runFor(600);
    expect(calls.map(({at}) => at)).toEqual([600, 600]);
  });

  it('is not asked while a reply to it may be on its way', async () => {
    const {routers, runFor, calls} = createRouters(['r-1']);
    routers.update(createVersions(2));
    const [router] = routers.behind();
    await vi.advanceTimersByTimeAsync(5);
    const startedAt = systemClock.now();
    Object.assign(router ?? {}, {delivery: {startedAt, endedAt: startedAt}});
    await runFor(400);
    expect(calls.map(({at}) => at)).toEqual([305]);
  });

  it('is asked beside 15 others at most', async () => {
    const names = Array.from({length: 40}, (_, number) => `r-${number}`);
    const {routers, runFor, calls, silence} = createRouters(names);
    silence();
    routers.update(createVersions(2));
    await runFor(1_000);
    expect(calls).toHaveLength(16);
  });
});
