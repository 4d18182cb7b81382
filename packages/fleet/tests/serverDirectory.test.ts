import {type BackendServerRecord} from '@dogwoodtrestle/schema';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {ServerDirectory} from '../src/index.js';

function createRecord(
  fields: Partial<BackendServerRecord> = {},
): BackendServerRecord {
  return {
    id: 's-1',
    startedAt: 100,
    sequence: 1,
    service: 'llm',
    address: '10.0.0.1:80',
    state: 'ready',
    slots: 4,
    ...fields,
  };
}

function statesOf(directory: ServerDirectory): Record<string, string> {
  const records = directory.changesSince('', -1)?.records ?? [];
  return Object.fromEntries(records.map(({id, state}) => [id, state]));
}

describe('ServerDirectory', () => {
  it('ignores an outdated announcement', () => {
    const directory = new ServerDirectory('e');
    directory.announce(createRecord({sequence: 3, state: 'draining'}), 0);
    expect(directory.announce(createRecord({sequence: 2}), 1)).toBe(false);
    expect(statesOf(directory)).toEqual({'s-1': 'draining'});
  });

  it('accepts a restart under the same id, with a new sequence', () => {
    const directory = new ServerDirectory('e');
    directory.announce(createRecord({sequence: 9, state: 'draining'}), 0);
    directory.announce(createRecord({startedAt: 200, sequence: 1}), 1);
    expect(statesOf(directory)).toEqual({'s-1': 'ready'});
  });

  it('keeps the newest incarnation at a reused address', () => {
    const directory = new ServerDirectory('e');
    directory.announce(createRecord({id: 's-2', startedAt: 300}), 0);
    // A partition delayed the announcement until after its sender's end.
    expect(directory.announce(createRecord(), 1)).toBe(false);
    expect(statesOf(directory)).toEqual({'s-2': 'ready'});
  });

  it('ends the earlier incarnation when a later one takes its address', () => {
    const directory = new ServerDirectory('e');
    directory.announce(createRecord(), 0);
    directory.announce(createRecord({id: 's-2', startedAt: 300}), 1);
    expect(statesOf(directory)).toEqual({'s-1': 'left', 's-2': 'ready'});
  });

  // Guards against streams of a software version that a later leader has not heard
  // of: routers were told of servers that no majority had recorded (issue 60).
  it.each([
    ['a server', createRecord()],
    ['a server that starts again', createRecord({startedAt: 200})],
    ['another software version', createRecord({softwareVersion: 'v2'})],
  ])('offers %s once the log has it', (_, announced) => {
    const recorded = new Set(['v1@50']);
    const keyOf = ({softwareVersion = 'v1', startedAt}: BackendServerRecord) =>
      `${softwareVersion}@${startedAt}`;
    const isRecorded = (record: BackendServerRecord) =>
      recorded.has(keyOf(record));
    const directory = new ServerDirectory('e', {isRecorded});
    directory.announce(
      createRecord({id: 's-0', startedAt: 50, address: ''}),
      0,
    );
    const {currentRevision} = directory;
    const record = {...announced, sequence: 2, coldMilliseconds: 500};
    directory.announce(record, 0);
    directory.offer(record.id, 1);
    expect(directory.changesSince('e', currentRevision)).toBeUndefined();
    expect(statesOf(directory)).toEqual({'s-0': 'ready'});
    recorded.add(keyOf(record));
    directory.offer(record.id, 100);
    const offered = {...record, coldMilliseconds: 400};
    expect(directory.changesSince('e', currentRevision)?.records).toEqual([
      offered,
    ]);
    // The state is bounded, and may drop it.
    recorded.clear();
    directory.announce({...record, sequence: 3, slots: 5}, 200);
    expect(directory.isOffered(record.id)).toBe(true);
    directory.leave(record.id, 300);
    expect(statesOf(directory)).toEqual({'s-0': 'ready', 's-1': 'left'});
  });

  it('records that an unknown server left', () => {
    const directory = new ServerDirectory('e');
    directory.leave('s-9', 0, 500);
    expect(directory.announce(createRecord({id: 's-9'}), 1)).toBe(false);
    expect(statesOf(directory)).toEqual({'s-9': 'left'});
  });

  // Guards against requests to a server that left: an announcement that it sent
  // before may arrive after its departure.
  it('keeps a departure when an earlier announcement arrives late', () => {
    const directory = new ServerDirectory('e');
    directory.announce(createRecord({sequence: 1}), 0);
    directory.leave('s-1', 1, 100);
    expect(directory.announce(createRecord({sequence: 2}), 2)).toBe(false);
    expect(statesOf(directory)).toEqual({'s-1': 'left'});
  });

  // Guards against the same where the departure is the first that is heard.
  it('keeps the departure of a server that was unknown', () => {
    const directory = new ServerDirectory('e');
    directory.leave('s-1', 0, 100);
    expect(directory.announce(createRecord({sequence: 2}), 1)).toBe(false);
    expect(statesOf(directory)).toEqual({'s-1': 'left'});
  });

  // Guards against a departure that is kept for the incarnation before.
  it('keeps the departure of a later incarnation than the known one', () => {
    const directory = new ServerDirectory('e');
    directory.announce(createRecord(), 0);
    directory.leave('s-1', 1, 200);
    const late = createRecord({startedAt: 200, sequence: 2});
    expect(directory.announce(late, 2)).toBe(false);
    expect(statesOf(directory)).toEqual({'s-1': 'left'});
  });

  it('keeps a departure wherever it comes between the announcements', () => {
    const sequences = fc.shuffledSubarray([1, 2, 3, 4, 5], {minLength: 1});
    fc.assert(
      fc.property(sequences, fc.nat(5), (order, position) => {
        const directory = new ServerDirectory('e');
        const announce = (sequence: number) =>
          directory.announce(createRecord({sequence}), sequence);
        order.slice(0, position).forEach(announce);
        directory.leave('s-1', 10, 100);
        order.slice(position).forEach(announce);
        expect(statesOf(directory)).toEqual({'s-1': 'left'});
      }),
    );
  });

  it('accepts an incarnation that started after a departure', () => {
    const directory = new ServerDirectory('e');
    directory.leave('s-1', 0, 100);
    const next = createRecord({startedAt: 200, sequence: 1});
    expect(directory.announce(next, 1)).toBe(true);
    expect(statesOf(directory)).toEqual({'s-1': 'ready'});
  });

  it('marks a silent server until its next announcement', () => {
    const directory = new ServerDirectory('e', {silentAfterMilliseconds: 100});
    directory.announce(createRecord(), 0);
    directory.expire(101);
    expect(statesOf(directory)).toEqual({'s-1': 'silent'});
    directory.announce(createRecord({sequence: 2}), 110);
    expect(statesOf(directory)).toEqual({'s-1': 'ready'});
  });

  it('returns only changes since a revision of its own epoch', () => {
    const directory = new ServerDirectory('e');
    directory.announce(createRecord(), 0);
    const revision = directory.currentRevision;
    expect(directory.changesSince('e', revision)).toBeUndefined();
    directory.announce(createRecord({sequence: 2}), 1);
    expect(directory.changesSince('e', revision)).toBeUndefined();
    directory.announce(createRecord({id: 's-2', address: '10.0.0.2:80'}), 2);
    const records = directory.changesSince('e', revision)?.records;
    expect(records?.map(({id}) => id)).toEqual(['s-2']);
    expect(directory.changesSince('f', revision)?.records).toHaveLength(2);
  });

  // Guards against a router that is never told of a server that was forgotten
  // while the router was away.
  it('returns all records after a revision that is partly forgotten', () => {
    const options = {forgetAfterMilliseconds: 100};
    const directory = new ServerDirectory('e', options);
    directory.announce(createRecord(), 0);
    const revision = directory.currentRevision;
    directory.leave('s-1', 1, 100);
    directory.announce(createRecord({id: 's-2', address: '10.0.0.2:80'}), 90);
    directory.expire(110);
    const update = directory.changesSince('e', revision);
    expect(update).toMatchObject({isComplete: true, records: [{id: 's-2'}]});
    const newest = directory.currentRevision;
    directory.announce(createRecord({id: 's-3', address: '10.0.0.3:80'}), 120);
    const next = directory.changesSince('e', newest);
    expect(next).toMatchObject({isComplete: false, records: [{id: 's-3'}]});
    expect(directory.changesSince('f', newest)?.isComplete).toBe(true);
  });

  it('tells the revision of the newest departure', () => {
    const directory = new ServerDirectory('e');
    directory.announce(createRecord(), 0);
    expect(directory.departureRevision).toBe(0);
    directory.announce(createRecord({sequence: 2, state: 'draining'}), 1);
    directory.announce(createRecord({id: 's-2', address: '10.0.0.2:80'}), 2);
    expect(directory.departureRevision).toBe(2);
  });
});

describe('the cold period of a server', () => {
  function announceAll(
    steps: ReadonlyArray<readonly [number, number | undefined, number]>,
  ) {
    const directory = new ServerDirectory('e');
    for (const [sequence, coldMilliseconds, now] of steps) {
      directory.announce(createRecord({sequence, coldMilliseconds}), now);
    }
    const {currentRevision} = directory;
    return [currentRevision, directory.find('s-1')?.coldMilliseconds];
  }

  it.each([
    [
      'begins',
      [
        [1, 0, 0],
        [2, 3_000, 100],
      ],
      2,
      3_000,
    ],
    [
      'ends',
      [
        [1, 3_000, 0],
        [2, 0, 3_100],
      ],
      2,
      0,
    ],
    [
      'goes on',
      [
        [1, 3_000, 0],
        [2, 1_800, 1_200],
      ],
      1,
      1_800,
    ],
    [
      'begins once more',
      [
        [1, 3_000, 0],
        [2, 3_000, 1_200],
      ],
      2,
      3_000,
    ],
    [
      'is known at last',
      [
        [1, undefined, 0],
        [2, 0, 100],
      ],
      2,
      0,
    ],
    [
      'is not in a record of the log',
      [
        [1, 3_000, 0],
        [2, undefined, 9],
      ],
      1,
      // What is left of it then; the whole time would begin anew.
      2_991,
    ],
    [
      'is not ended by a late announcement',
      [
        [2, 3_000, 0],
        [1, 0, 9],
      ],
      1,
      3_000,
    ],
  ] as const)('%s', (_, steps, revision, coldMilliseconds) => {
    expect(announceAll(steps)).toEqual([revision, coldMilliseconds]);
  });

  // Guards against routers that count a period anew from when the server is silent.
  it.each([
    [3_000, 0],
    [10_000, 5_999],
  ])('of %i ms has %i ms left once the server is silent', (whole, left) => {
    const directory = new ServerDirectory('e');
    directory.announce(createRecord({coldMilliseconds: whole}), 0);
    directory.expire(4_001);
    expect(directory.find('s-1')).toMatchObject({
      state: 'silent',
      coldMilliseconds: left,
    });
  });
});
