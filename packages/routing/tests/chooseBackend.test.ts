/**
 * @fileoverview Tests of the choice of a backend server and of what it depends
 * on: local load, cached prefixes and slow start.
 */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  chooseBackend,
  type BackendChoiceInput,
  LoadTracker,
  PrefixIndex,
  SlowStart,
} from '../src/index.js';
import {announcementOf, seededRandom} from './fixtures.js';

interface ServerCase {
  running?: number;
  inFlight?: number;
  hitRatio?: number;
  domain?: string;
  ejected?: boolean;
  weight?: number;
}

function choiceInputOf(
  servers: readonly ServerCase[],
  overrides: Partial<BackendChoiceInput> = {},
): BackendChoiceInput {
  const byName = (name: string) => servers[Number(name.slice(1))]!;
  return {
    candidates: servers.map(({running = 0, domain}, index) => ({
      announcement: announcementOf(`s${index}`, {
        failureDomain: domain ?? 'kamloops-1',
        load: {running},
      }),
      observedAt: 0,
    })),
    now: 0,
    inFlight: name => byName(name).inFlight ?? 0,
    failureDomain: 'kamloops-1',
    prefixHitRatio: name => byName(name).hitRatio ?? 0,
    health: name => ({
      ejected: byName(name).ejected ?? false,
      weight: byName(name).weight ?? 1,
    }),
    exclude: new Set(),
    random: () => 0,
    ...overrides,
  };
}

describe('chooseBackend', () => {
  it.each<{
    name: string;
    servers: ServerCase[];
    chosen?: string;
    promptTokens?: number;
  }>([
    {name: 'the less loaded server', servers: [{running: 8}, {}], chosen: 's1'},
    {
      name: 'the server with fewer local requests',
      servers: [{inFlight: 8}, {}],
      chosen: 's1',
    },
    {
      name: 'the server that has the prompt cached',
      servers: [{}, {hitRatio: 1}],
      chosen: 's1',
    },
    {
      name: 'no overloaded server, even if a long prompt is cached',
      servers: [{}, {hitRatio: 1, inFlight: 40}],
      chosen: 's0',
      promptTokens: 100_000,
    },
    {
      name: 'the server that other routers load less',
      servers: [{running: 12}, {}],
      chosen: 's1',
    },
    {
      name: 'the server in the same failure domain',
      servers: [{domain: 'x'}, {running: 1}],
      chosen: 's1',
    },
    {
      name: 'another failure domain if the own one is full',
      servers: [{domain: 'x'}, {running: 16}],
      chosen: 's0',
    },
    {name: 'no ejected server', servers: [{ejected: true}, {}], chosen: 's1'},
    {
      name: 'no server in slow start',
      servers: [{weight: 0.2}, {running: 1}],
      chosen: 's1',
    },
    {
      name: 'none if all are ejected',
      servers: [{ejected: true}],
      chosen: undefined,
    },
    {name: 'none without candidates', servers: [], chosen: undefined},
  ])('chooses $name', ({servers, chosen, promptTokens}) => {
    const choice = chooseBackend(choiceInputOf(servers, {promptTokens}));
    expect(choice.backend?.announcement.name).toBe(chosen);
  });

  it('explains the choice in bounded length, never an ineligible server', () => {
    const server = fc.record({
      running: fc.integer({min: 0, max: 60}),
      hitRatio: fc.double({min: 0, max: 1, noNaN: true}),
      ejected: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.array(server, {maxLength: 40}),
        fc.integer({min: 0, max: 39}),
        fc.integer(),
        (servers, excluded, seed) => {
          const input = choiceInputOf(servers, {
            exclude: new Set([`s${excluded}`]),
            random: seededRandom(seed),
          });
          const {backend, considered} = chooseBackend(input);
          const chosen = considered.filter(({why}) => why === 'chosen');
          const isUsable = servers.some(
            ({ejected}, index) => !ejected && index !== excluded,
          );
          expect(chosen).toHaveLength(isUsable ? 1 : 0);
          expect(chosen[0]?.name).toBe(backend?.announcement.name);
          expect(considered.length).toBeLessThanOrEqual(12);
          expect(backend?.announcement.name).not.toBe(`s${excluded}`);
        },
      ),
      {seed: 65, numRuns: 300},
    );
  });
});

describe('explanation of a choice', () => {
  it('includes the chosen server among many equal ones', () => {
    const servers = Array.from({length: 40}, () => ({}));
    const input = choiceInputOf(servers, {random: () => 0.99});
    const {backend, considered} = chooseBackend(input);
    expect(backend?.announcement.name).toBe('s39');
    expect(considered).toContainEqual(
      expect.objectContaining({name: 's39', why: 'chosen'}),
    );
  });
});

describe('LoadTracker', () => {
  it('corrects a report by local requests that it does not reflect', () => {
    const tracker = new LoadTracker({reportLagMilliseconds: 1_000});
    const entry = {announcement: announcementOf('a'), observedAt: 5_000};
    tracker.start('a', 'shown, running', 3_000);
    tracker.start('a', 'shown, ended since', 3_500);
    tracker.end('a', 'shown, ended since', 4_500);
    tracker.start('a', 'shown, ended before', 3_600);
    tracker.end('a', 'shown, ended before', 3_900);
    expect(tracker.loadCorrection(entry)).toBe(-1);
    tracker.start('a', 'not shown, running', 4_100);
    tracker.start('a', 'not shown, ended', 4_200);
    tracker.end('a', 'not shown, ended', 4_300);
    expect(tracker.loadCorrection(entry)).toBe(0);
    expect(tracker.inFlight('a')).toBe(2);
  });

  it('counts each attempt once, however often it ends', () => {
    const tracker = new LoadTracker();
    tracker.start('a', '1', 0);
    tracker.end('a', '1', 1);
    tracker.end('a', '1', 2);
    expect(tracker.inFlight('a')).toBe(0);
  });
});

describe('PrefixIndex', () => {
  const report = (sequence: number, added: string[], full = false) =>
    announcementOf('a', {cache: {sequence, full, added, removed: []}});

  it.each([
    {
      name: 'a first full report',
      reports: [report(4, ['x'], true)],
      hitRatio: 1,
    },
    {name: 'a first change', reports: [report(4, ['x'])], hitRatio: 0},
    {
      name: 'a gap',
      reports: [report(4, ['x'], true), report(6, [])],
      hitRatio: 0,
    },
    {
      name: 'a full report after a gap',
      reports: [report(4, [], true), report(6, []), report(7, ['x'], true)],
      hitRatio: 1,
    },
    {
      name: 'a repeated report',
      reports: [report(4, ['x'], true), report(4, ['x']), report(5, [])],
      hitRatio: 1,
    },
    {
      name: 'another incarnation',
      reports: [report(4, ['x'], true), {...report(5, []), incarnation: 2}],
      hitRatio: 0,
    },
  ])('has a hit ratio of $hitRatio after $name', ({reports, hitRatio}) => {
    const index = new PrefixIndex();
    for (const each of reports) index.observe(each);
    expect(index.hitRatio('a', ['x'], 0)).toBe(hitRatio);
  });

  it('counts a contiguous run of sent and reported blocks until expiry', () => {
    const index = new PrefixIndex({sentRetentionMilliseconds: 10});
    index.observe(report(1, ['y', 'w'], true));
    index.recordSent('a', ['x'], 0);
    expect(index.hitRatio('a', ['x', 'y', 'z', 'w'], 10)).toBe(0.5);
    expect(index.hitRatio('a', ['x', 'y', 'z', 'w'], 11)).toBe(0);
  });

  it('has an error of at most one sixteenth for a long prompt', () => {
    const length = fc.integer({min: 1, max: 300});
    fc.assert(
      fc.property(length, length, (prompt, cached) => {
        const blocks = Array.from({length: prompt}, (_, at) => `b${at}`);
        const index = new PrefixIndex();
        index.recordSent('a', blocks.slice(0, cached), 0);
        const share = Math.min(1, cached / prompt);
        const hitRatio = index.hitRatio('a', blocks, 0);
        expect(hitRatio).toBeLessThanOrEqual(share);
        expect(hitRatio).toBeGreaterThan(share - 1 / 16 - 1 / prompt);
      }),
      {seed: 68, numRuns: 300},
    );
  });

  it('bounds the number of hashes', () => {
    const index = new PrefixIndex({
      maximumReportedHashes: 2,
      maximumSentHashes: 1,
    });
    index.observe(report(1, ['a', 'b', 'c'], true));
    index.recordSent('a', ['x', 'y'], 0);
    expect(index.hitRatio('a', ['a', 'b', 'c'], 0)).toBeCloseTo(2 / 3);
    expect(index.hitRatio('a', ['x'], 0)).toBe(0);
  });
});

describe('SlowStart', () => {
  it.each([
    {name: 'found during discovery', seenAt: 1_000, now: 1_000, weight: 1},
    {name: 'just started', seenAt: 60_000, now: 60_000, weight: 0.2},
    {
      name: 'halfway through slow start',
      seenAt: 60_000,
      now: 65_000,
      weight: 0.6,
    },
    {name: 'past slow start', seenAt: 60_000, now: 80_000, weight: 1},
  ])(
    'gives weight $weight to a server that is $name',
    ({seenAt, now, weight}) => {
      const slowStart = new SlowStart(0);
      slowStart.observe({name: 'a', incarnation: 1}, seenAt);
      slowStart.observe({name: 'a', incarnation: 1}, seenAt + 500);
      expect(slowStart.weight('a', now)).toBeCloseTo(weight);
    },
  );

  it('restarts with a new incarnation', () => {
    const slowStart = new SlowStart(0);
    slowStart.observe({name: 'a', incarnation: 1}, 0);
    slowStart.observe({name: 'a', incarnation: 2}, 4_000);
    expect(slowStart.weight('a', 4_000)).toBeCloseTo(0.2);
  });
});
