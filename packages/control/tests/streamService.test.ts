/**
 * @fileoverview Tests that a leader tells which version began a stream only as far
 * as it can know.
 */
import {FleetState, ServerDirectory} from '@dogwoodtrestle/fleet';
import {silentLogger} from '@dogwoodtrestle/runtime';
import {type BackendServerRecord, type Entry} from '@dogwoodtrestle/schema';
import {beforeEach, describe, expect, it} from 'vitest';

import {type ReplicaGroup} from '../src/replicaGroup.js';
import {StreamService} from '../src/streamService.js';
import {createRecord} from './support/controlGroup.js';

let now: number;

beforeEach(() => {
  now = 100_000;
});

/** Creates the service of a leader whose majority confirmed it 30 ms ago. */
function createLeader() {
  const group = {
    isLeader: true,
    term: 7,
    confirmedAt: now - 30,
    replica: {barrier: () => Promise.resolve(0)},
  };
  const directory = new ServerDirectory('epoch');
  const state = new FleetState();
  const clock = {now: () => now, wallNow: () => now, setTimer: () => () => {}};
  const service = new StreamService(
    {clock, logger: silentLogger},
    group as unknown as ReplicaGroup,
    state,
    directory,
    () => ({kind: 'notLeader', replicas: []}),
  );
  let index = 0;
  return {
    group,
    directory,
    state,
    service,
    commit: (...commands: Entry['commands'] & object) =>
      state.apply({
        index: ++index,
        term: 7,
        timestamp: now,
        kind: 'commands',
        commands,
      }),
  };
}

const createServer = (id: string, softwareVersion: string) =>
  createRecord({id, softwareVersion, address: `10.0.0.1:${id}`});

/** Creates a leader that knows servers, which are committed. */
function createLeaderOf(...servers: BackendServerRecord[]) {
  const leader = createLeader();
  for (const server of servers) leader.directory.announce(server, now);
  leader.commit({kind: 'noteServers', records: servers});
  return leader;
}

const query = {attempt: 'a-1', service: 'llm'};

describe('the reply to a router that asks for the version of a stream', () => {
  it('tells the term, and how old its confirmation is', async () => {
    const {service} = createLeaderOf(createServer('1', 'v1'));
    expect(await service.find(query)).toEqual({
      kind: 'stream',
      source: 'history',
      softwareVersion: 'v1',
      term: 7,
      confirmationAgeMilliseconds: 30,
    });
  });
});
