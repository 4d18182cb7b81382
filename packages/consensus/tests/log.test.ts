/**
 * @fileoverview Tests the in-memory log.
 */
import {type Entry, type Member} from '@dogwoodtrestle/schema';
import {expect, it} from 'vitest';

import {Log} from '../src/log.js';

function member(id: string): Member {
  return {id, instance: id, address: id, role: 'voter'};
}

function noop(index: number, term = 1): Entry {
  return {index, term, timestamp: index, kind: 'noop'};
}

function membership(index: number, ...ids: string[]): Entry {
  const members = ids.map(member);
  return {index, term: 1, timestamp: index, kind: 'membership', members};
}

/**
 * Creates a log with members a at index 1, a and b at 3, and a, b and c at 5.
 */
function makeLog(): Log {
  const log = new Log();
  log.append([
    membership(1, 'a'),
    noop(2),
    membership(3, 'a', 'b'),
    noop(4),
    membership(5, 'a', 'b', 'c'),
  ]);
  return log;
}

it('returns the members at each index', () => {
  const log = makeLog();
  const counts = [0, 1, 2, 3, 4, 5].map(index => log.membersAt(index).length);
  expect(counts).toEqual([0, 1, 1, 2, 2, 3]);
  expect(log.snapshotHeaderAt(4)).toMatchObject({
    index: 4,
    term: 1,
    timestamp: 4,
  });
});

it('reverts membership changes whose entries are replaced', () => {
  const log = makeLog();
  log.append([noop(4, 2)]);
  expect(log.lastIndex).toBe(4);
  expect(log.members).toHaveLength(2);
  expect(log.membershipIndex).toBe(3);
});

it('keeps the members and the term at the base after compaction', () => {
  const log = makeLog();
  log.compact(4);
  expect([log.baseIndex, log.lastIndex, log.termAt(4)]).toEqual([4, 5, 1]);
  expect(log.termAt(3)).toBe(undefined);
  expect(log.membersAt(4)).toHaveLength(2);
  expect(log.members).toHaveLength(3);
});

it('limits slices by entries and bytes, but returns at least one entry', () => {
  const log = makeLog();
  expect(log.slice(2, 2, 1_000).map(({index}) => index)).toEqual([2, 3]);
  expect(log.slice(2, 9, 1).map(({index}) => index)).toEqual([2]);
  expect(log.slice(6, 9, 1_000)).toEqual([]);
});
