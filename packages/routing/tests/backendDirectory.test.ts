/** @fileoverview Tests of the directory of backend servers and its gossip. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {BackendDirectory} from '../src/index.js';
import {announcementOf} from './fixtures.js';

const model = {kind: 'model', name: 'lot-writer'} as const;

const versions = fc.record({
  name: fc.constantFrom('a', 'b'),
  incarnation: fc.integer({min: 1, max: 3}),
  sequence: fc.integer({min: 1, max: 5}),
  state: fc.constantFrom('serving' as const, 'leaving' as const),
});

function directoryOf(): BackendDirectory {
  const directory = new BackendDirectory();
  directory.observe(announcementOf('a', {incarnation: 2, sequence: 5}), 0);
  return directory;
}

describe('BackendDirectory', () => {
  it.each([
    {name: 'older incarnation', incarnation: 1, sequence: 9, is: 'ignored'},
    {name: 'older sequence', incarnation: 2, sequence: 4, is: 'ignored'},
    {name: 'same sequence', incarnation: 2, sequence: 5, is: 'ignored'},
    {name: 'next sequence', incarnation: 2, sequence: 6, is: 'renewed'},
    {name: 'higher incarnation', incarnation: 3, sequence: 0, is: 'updated'},
  ])('observes an $name as $is', ({incarnation, sequence, is}) => {
    const announcement = announcementOf('a', {incarnation, sequence});
    expect(directoryOf().observe(announcement, 1)).toBe(is);
  });

  it.each([
    {name: 'fresh', now: 2_999, state: 'serving', count: 1},
    {name: 'silent for 3 s', now: 3_000, state: 'silent', count: 0},
  ])('reports a $name server as $state', ({now, state, count}) => {
    const directory = directoryOf();
    expect(directory.candidates(model, now)).toHaveLength(count);
    expect(directory.entries(now)).toMatchObject([{state}]);
  });

  it.each([
    {target: {kind: 'model', name: 'lot-writer', adapter: 'bids'}, count: 1},
    {target: {kind: 'model', name: 'lot-writer', adapter: 'x'}, count: 0},
    {target: {kind: 'model', name: 'lot-writer', version: '2'}, count: 0},
    {target: {kind: 'service', name: 'lot-writer'}, count: 0},
  ] as const)('finds $count servers for $target', ({target, count}) => {
    expect(directoryOf().candidates(target, 0)).toHaveLength(count);
  });

  it('keeps `leaving` for the rest of an incarnation', () => {
    const directory = directoryOf();
    const next = {incarnation: 2, sequence: 6};
    directory.observe(announcementOf('a', {...next, state: 'leaving'}), 1);
    directory.observe(announcementOf('a', {...next, sequence: 7}), 2);
    expect(directory.candidates(model, 2)).toEqual([]);
    directory.observe(announcementOf('a', {incarnation: 3}), 3);
    expect(directory.candidates(model, 3)).toHaveLength(1);
  });

  it('converges for any order and path of announcements', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(versions, fc.boolean()), {maxLength: 12}),
        seen => {
          const sides = [
            new BackendDirectory(),
            new BackendDirectory(),
          ] as const;
          for (const [{name, ...version}, isLeft] of seen) {
            const side = isLeft ? sides[0] : sides[1];
            side.observe(announcementOf(name, version), 0);
          }
          const [left, right] = sides;
          left.merge(right.newerThan(left.digest(), 10), 10);
          right.merge(left.newerThan(right.digest(), 10), 10);
          expect(left.digest()).toEqual(right.digest());
          expect(left.newerThan(right.digest(), 10)).toEqual([]);
        },
      ),
      {seed: 61, numRuns: 300},
    );
  });

  it('never underestimates the age of a relayed announcement', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            stay: fc.double({min: 0, max: 900, noNaN: true}),
            transit: fc.double({min: 0, max: 900, noNaN: true}),
            offset: fc.integer({min: -1e9, max: 1e9}),
          }),
          {maxLength: 6},
        ),
        hops => {
          // True time starts at 0; each instance's clock has its own offset.
          let time = 0;
          let offset = 0;
          let holder = new BackendDirectory();
          holder.observe(announcementOf('a'), 0);
          for (const hop of hops) {
            time += hop.stay;
            const receiver = new BackendDirectory();
            const askedAt = time + hop.offset;
            const answeredAt = time + hop.transit / 2;
            const records = holder.newerThan(
              receiver.digest(),
              answeredAt + offset,
            );
            time += hop.transit;
            receiver.merge(records, askedAt);
            [holder, offset] = [receiver, hop.offset];
          }
          const [status] = holder.entries(time + offset);
          expect(status!.ageMilliseconds).toBeGreaterThan(time - 1e-3);
        },
      ),
      {seed: 62, numRuns: 300},
    );
  });

  it('does not accept expired announcements from peers', () => {
    const [left, right] = [directoryOf(), directoryOf()];
    expect(left.removeExpired(60_000)).toEqual(['a']);
    left.merge(right.newerThan(left.digest(), 60_000), 60_000);
    const held = [{record: announcementOf('a'), ageMilliseconds: 60_000}];
    left.merge(held, 60_000);
    expect(left.entries(60_000)).toEqual([]);
  });

  it('covers each name in exactly one slice of a digest', () => {
    const directory = new BackendDirectory();
    for (let index = 0; index < 50; index += 1) {
      directory.observe(announcementOf(`s${index}`), 0);
    }
    const names = [0, 1, 2].flatMap(index => {
      const digest = directory.digest({index, count: 3});
      const newer = new BackendDirectory().digest({index, count: 3});
      const records = directory.newerThan(newer, 0);
      expect(records).toHaveLength(Object.keys(digest.versions).length);
      return Object.keys(digest.versions);
    });
    expect(new Set(names).size).toBe(50);
    expect(names).toHaveLength(50);
  });
});
