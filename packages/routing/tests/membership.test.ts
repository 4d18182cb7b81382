/** @fileoverview Tests of the membership table and the choice of peers. */
import {describe, expect, it} from 'vitest';

import {choosePeers, InstanceTable, type InstanceRecord} from '../src/index.js';
import {instanceOf, seededRandom} from './fixtures.js';

function tableOf(record = instanceOf('me')): InstanceTable {
  return new InstanceTable(record, 0);
}

function aged(record: InstanceRecord, ageMilliseconds = 0) {
  return {record, ageMilliseconds};
}

describe('InstanceTable', () => {
  it('spreads heartbeats and detects silent and leaving instances', () => {
    const [left, right] = [tableOf(), tableOf(instanceOf('other'))];
    left.merge(right.newerThan(left.digest(), 0), 0);
    right.renewOwnRecord({...right.ownRecord, state: 'leaving'}, 1_000);
    left.merge(right.newerThan(left.digest(), 1_000), 1_000);
    expect(left.entries(5_999)).toMatchObject([{}, {state: 'leaving'}]);
    expect(left.entries(6_000)).toMatchObject([{}, {state: 'silent'}]);
    expect(left.removeExpired(601_000)).toContain('other');
  });

  it('raises its incarnation above the one before a restart', () => {
    const table = tableOf(instanceOf('me', {incarnation: 5}));
    table.merge([aged(instanceOf('me', {incarnation: 9}))], 10);
    table.renewOwnRecord({...table.ownRecord}, 20);
    const other = tableOf(instanceOf('other'));
    other.merge([aged(instanceOf('me', {incarnation: 9}))], 10);
    other.merge(table.newerThan(other.digest(), 20), 20);
    expect(other.get('me')?.incarnation).toBe(10);
  });

  const elsewhere = {address: '10.9.9.9'};
  it.each([
    {name: 'a valid record', records: [instanceOf('other')], codes: []},
    {
      name: 'another cluster',
      records: [instanceOf('other', {cluster: 'tents'})],
      codes: ['wrongCluster'],
    },
    {
      name: 'a name at two addresses at once',
      records: [instanceOf('other'), instanceOf('other', elsewhere)],
      codes: ['duplicateName'],
    },
    {
      name: 'a restart at another address',
      records: [
        instanceOf('other'),
        instanceOf('other', {...elsewhere, incarnation: 2}),
      ],
      codes: [],
    },
    {
      name: 'an older incarnation that still sends heartbeats',
      records: [
        instanceOf('other', {...elsewhere, incarnation: 2}),
        instanceOf('other', {sequence: 7}),
      ],
      codes: ['duplicateName'],
    },
    {
      name: 'its own name at another address',
      records: [instanceOf('me', {...elsewhere, incarnation: 2})],
      codes: ['duplicateName'],
    },
    {
      name: 'two names at one address',
      records: [
        instanceOf('other'),
        instanceOf('third', {address: '10.0.0.5'}),
      ],
      codes: ['duplicateAddress'],
    },
    {
      name: 'a clock an hour ahead',
      records: [instanceOf('other', {wallClock: 4_600_000})],
      codes: ['clockOff'],
    },
  ])('reports $codes for $name', ({records, codes}) => {
    const table = tableOf();
    records.forEach((record, index) => {
      table.merge([aged(record)], 100 * (index + 1));
    });
    const found = table.findings(300, 1_000_300);
    expect(found.map(({code}) => code)).toEqual(codes);
  });

  it('finds no conflict in a delayed record of a moved instance', () => {
    const table = tableOf();
    const moved = instanceOf('other', {...elsewhere, incarnation: 2});
    table.merge([aged(moved)], 1_000);
    table.merge([aged(instanceOf('other'), 500)], 1_100);
    expect(table.findings(1_100, 1_001_100)).toEqual([]);
  });
});

describe('choosePeers', () => {
  const statusOf = (
    name: string,
    region: string,
    state: 'serving' | 'silent' = 'serving',
  ) => ({
    record: instanceOf(name, {region, address: name}),
    state,
    ageMilliseconds: 0,
  });
  const instances = [
    statusOf('me', 'bc'),
    ...['a', 'b', 'c'].map(each => statusOf(each, 'bc')),
    ...['x', 'y'].map(each => statusOf(each, 'north')),
    statusOf('lost', 'bc', 'silent'),
  ];
  const input = {
    self: {name: 'me', region: 'bc'},
    selfAddress: 'me:8081',
    seeds: ['seed:8081', 'me:8081'],
  };

  it('prefers its region and eventually chooses every peer', () => {
    const random = seededRandom(3);
    const counts = new Map<string, number>();
    for (let round = 0; round < 400; round += 1) {
      const peers = choosePeers({...input, instances, random});
      expect(peers.length).toBeLessThanOrEqual(4);
      expect(new Set(peers).size).toBe(peers.length);
      for (const peer of peers) counts.set(peer, (counts.get(peer) ?? 0) + 1);
    }
    expect([...counts.keys()].sort()).toEqual(
      ['a', 'b', 'c', 'lost', 'seed', 'x', 'y'].map(each => `${each}:8081`),
    );
    expect(counts.get('a:8081')!).toBeGreaterThan(2 * counts.get('x:8081')!);
  });

  it('asks a seed when it knows no instance', () => {
    const alone = {...input, instances: [], random: () => 0.99};
    expect(choosePeers({...alone, seeds: ['seed:8081']})).toEqual([
      'seed:8081',
    ]);
  });
});
