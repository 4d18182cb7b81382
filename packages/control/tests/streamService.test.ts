/**
 * @fileoverview Tests that a leader tells which version began a stream only as far
 * as it can know.
 */
import {
  FleetState,
  ServerDirectory,
  streamLifetimeMilliseconds,
} from '@dogwoodtrestle/fleet';
import {silentLogger, systemClock} from '@dogwoodtrestle/runtime';
import {type BackendServerRecord, type Entry} from '@dogwoodtrestle/schema';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {type ReplicaGroup} from '../src/replicaGroup.js';
import {StreamService} from '../src/streamService.js';
import {createRecord} from './support/controlGroup.js';

/** Time within which a router hears that the leader can't tell. */
const replyMilliseconds = 350;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Creates the service of a leader whose majority confirmed it 30 ms ago. */
function createLeader() {
  const group = {
    isLeader: true,
    term: 7,
    leadsSince: systemClock.now(),
    confirmedAt: systemClock.now() - 30,
    replica: {barrier: (): Promise<number> => Promise.resolve(0)},
  };
  const directory = new ServerDirectory('epoch');
  const state = new FleetState();
  const service = new StreamService(
    {clock: systemClock, logger: silentLogger},
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
        timestamp: systemClock.now(),
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
  for (const server of servers) {
    leader.directory.announce(server, systemClock.now());
  }
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

  // Guards against a version that a leader tells after its majority has gone on
  // without it: other servers may have joined there (issue 60).
  it.each([
    ['is cut off', () => new Promise<never>(() => undefined)],
    ['was resumed', () => Promise.reject(new Error('no majority'))],
  ])('tells no version if the leader %s', async (_, barrier) => {
    const {service, group, commit} = createLeaderOf(createServer('1', 'v1'));
    const {service: name} = query;
    const stream = {attempt: 'a-2', service: name, softwareVersion: 'v1'};
    commit({kind: 'noteStreams', streams: [stream]});
    group.replica.barrier = barrier;
    for (const attempt of ['a-1', 'a-2', undefined]) {
      let reply: unknown;
      void service.find({attempt, service: name}).then(value => {
        reply = value;
      });
      await vi.advanceTimersByTimeAsync(replyMilliseconds);
      expect(reply).toEqual({kind: 'notLeader', replicas: []});
    }
  });

  // Guards against a version that a new leader takes for the only one: while it was
  // cut off it had forgotten servers of another, which may have begun streams just
  // now (issue 60).
  it('counts forgotten servers for as long as they may matter', async () => {
    const {service, directory, commit} = createLeader();
    const servers = [createServer('1', 'v1'), createServer('2', 'v2')];
    commit({kind: 'noteServers', records: servers});
    const heard = () => {
      directory.announce(servers[1]!, systemClock.now());
      return service.find(query);
    };
    expect(await heard()).toMatchObject({source: 'unknown'});
    await vi.advanceTimersByTimeAsync(streamLifetimeMilliseconds - 1);
    expect(await heard()).toMatchObject({source: 'unknown'});
    await vi.advanceTimersByTimeAsync(1);
    expect(await heard()).toMatchObject({softwareVersion: 'v2'});
  });
});
