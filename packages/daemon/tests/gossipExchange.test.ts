import {
  BackendDirectory,
  type InstanceRecord,
  InstanceTable,
} from '@dogwoodtrestle/routing';
import {
  type Announcement,
  type GossipReply,
  createParser,
} from '@dogwoodtrestle/schema';
import {describe, expect, it} from 'vitest';

import {GossipExchange} from '../src/membership/gossipExchange.js';

function recordOf(name: string): InstanceRecord {
  return {
    name,
    incarnation: 1,
    sequence: 0,
    state: 'serving',
    cluster: 'barley',
    address: '127.0.0.1',
    callerPort: 1,
    peerPort: name.length,
    region: 'r',
    failureDomain: 'd',
    roles: ['router'],
    revision: 0,
    renewedMillisecondsAgo: 0,
    wallClock: 0,
  };
}

function announcementOf(changes: object = {}): Announcement {
  return createParser('Announcement')({
    name: 'server',
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    url: 'http://127.0.0.1:1',
    failureDomain: 'd',
    kind: 'model',
    models: [{name: 'summary'}],
    load: {running: 0},
    ...changes,
  });
}

interface Peer {
  table: InstanceTable;
  directory: BackendDirectory;
  exchange: GossipExchange;
}

/** Creates two instances that call each other directly. */
function createPair() {
  const time = {now: 1000};
  const clock = {
    now: () => time.now,
    wallNow: () => 0,
    setTimer: () => () => {},
  };
  const replies: GossipReply[] = [];
  const peers = ['one', 'three'].map((name): Peer => {
    const table = new InstanceTable(recordOf(name), time.now);
    const directory = new BackendDirectory();
    const exchange = new GossipExchange({
      table,
      directory,
      address: name,
      clock,
      send: async (address, request): Promise<GossipReply> => {
        const peer = peers.find(each => each.table.ownRecord.name === address);
        const reply = peer?.exchange.handleRequest(request);
        if (reply === undefined) throw new Error('unreachable');
        replies.push(reply);
        return structuredClone(reply);
      },
    });
    return {table, directory, exchange};
  });
  const [one, three] = peers as [Peer, Peer];
  return {one, three, time, replies};
}

describe('GossipExchange', () => {
  it('sends whole records once and then renewals with ages', async () => {
    const {one, three, time, replies} = createPair();
    three.exchange.observe(announcementOf());
    await one.exchange.pull('three');
    expect(replies.map(({needsDigests}) => needsDigests)).toEqual([
      true,
      undefined,
    ]);
    await three.exchange.pull('one'); // now both know the same names
    const load = {running: 7, queued: 2, capacity: 16, tokensPerSecond: 3.5};
    three.exchange.observe(announcementOf({sequence: 2, load}));
    time.now += 400;
    replies.length = 0;
    await one.exchange.pull('three');
    expect(replies).toMatchObject([
      {instances: [], backends: [], renewals: {backends: [{age: 400}]}},
    ]);
    expect(one.directory.get('server')).toEqual({
      announcement: announcementOf({sequence: 2, load}),
      observedAt: 1000,
    });
  });

  it.each([
    ['changed models', {sequence: 2, models: [{name: 'other'}]}],
    ['another incarnation', {incarnation: 2, models: [{name: 'other'}]}],
    ['a leaving server', {sequence: 2, state: 'leaving'}],
    [
      'a cache report',
      {sequence: 2, cache: {sequence: 1, added: ['a'], removed: []}},
    ],
  ])('sends the whole record for %s', async (_name, changes) => {
    const {one, three} = createPair();
    three.exchange.observe(announcementOf());
    await one.exchange.pull('three');
    three.exchange.observe(announcementOf(changes));
    await one.exchange.pull('three');
    const {announcement} = one.directory.get('server') ?? {};
    expect(announcement).toMatchObject(announcementOf(changes));
  });

  it('merges records of a peer with equally many other records', async () => {
    const {one} = createPair();
    await one.exchange.pull('three');
    expect(one.table.get('three')).toEqual(recordOf('three'));
  });

  it('applies no renewal to a newer incarnation than requested', async () => {
    const {one, three} = createPair();
    three.exchange.observe(announcementOf());
    await one.exchange.pull('three');
    three.exchange.observe(announcementOf({sequence: 9}));
    const asked = one.exchange.pull('three');
    one.exchange.observe(announcementOf({incarnation: 2}));
    await asked;
    expect(one.directory.get('server')?.announcement).toMatchObject({
      incarnation: 2,
      sequence: 1,
    });
  });
});
