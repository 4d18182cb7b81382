/**
 * @fileoverview What the leader does with reports of crashes: blocks of subjects,
 * and what takes them back.
 */
import {FleetState, ServerDirectory} from '@dogwoodtrestle/fleet';
import {MetricsRegistry, silentLogger} from '@dogwoodtrestle/runtime';
import {
  type BackendServerRecord,
  type BlockedPart,
  type WatchRequest,
} from '@dogwoodtrestle/schema';
import {describe, expect, it} from 'vitest';

import {CrashTopic} from '../src/crashTopic.js';
import {type ReplicaGroup} from '../src/replicaGroup.js';

const record: BackendServerRecord = {
  id: 's-1',
  startedAt: 1,
  sequence: 1,
  service: 'llm',
  address: '10.0.0.1:1',
  state: 'ready',
  slots: 8,
};

interface TopicFixture {
  /** Lets time pass, and the leader record what is reported. */
  report: (
    milliseconds: number,
    fields?: Partial<WatchRequest>,
  ) => Promise<void>;
  /** Reports a crash of a server at which one prompt with parts was open. */
  crash: (server: number, parts?: readonly string[]) => Promise<void>;
  announce: (server: number, fields?: Partial<BackendServerRecord>) => void;
  blocked: () => BlockedPart[];
}

function createTopic(): TopicFixture {
  let now = 100_000;
  const clock = {
    now: () => now,
    wallNow: () => now,
    setTimer: () => () => undefined,
  };
  const state = new FleetState();
  const directory = new ServerDirectory('epoch-1');
  let index = 0;
  const propose = async (commands: unknown[]) =>
    state.apply({
      index: ++index,
      term: 1,
      timestamp: now,
      kind: 'commands',
      commands,
    });
  const group = {isLeader: true, replica: {propose}};
  const topic = new CrashTopic(
    {
      clock,
      logger: silentLogger,
      metrics: new MetricsRegistry(),
      onNews: () => undefined,
    },
    group as unknown as ReplicaGroup,
    state,
    directory,
  );
  const announce: TopicFixture['announce'] = (server, fields = {}) => {
    const address = `10.0.0.${server}:1`;
    directory.announce({...record, id: `s-${server}`, address, ...fields}, now);
  };
  const report: TopicFixture['report'] = async (milliseconds, fields = {}) => {
    now += milliseconds;
    topic.record(fields as WatchRequest);
    // Proposals end in turns of their own.
    for (let turn = 0; turn < 10; turn++) await Promise.resolve();
  };
  const crash: TopicFixture['crash'] = (server, parts = ['p-1']) => {
    const open = {workspaces: ['desk'], prompts: [server]};
    const reported = {
      server: `s-${server}`,
      startedAt: 1,
      ageMilliseconds: 0,
      parts: parts.map(id => ({id, ...open})),
    };
    return report(500, {crashes: [reported]});
  };
  const blocked = () => state.blockedParts.state.parts;
  return {report, crash, announce, blocked};
}

/** Has four servers crash at prompts with certain parts. */
async function createBlocked(
  parts: readonly string[] = ['p-1'],
): Promise<TopicFixture> {
  const topic = createTopic();
  for (const server of [1, 2, 3, 4]) topic.announce(server);
  for (const server of [1, 2, 3, 4]) await topic.crash(server, parts);
  expect(topic.blocked()).toMatchObject([{part: parts.at(-1)}]);
  return topic;
}

// Guards against a network that fails between routers and servers and counts as
// crashes, so that a sound part is refused for minutes (issue 46).
describe('a crash that was reported', () => {
  it('counts no more when the incarnation is announced later', async () => {
    const {report, announce, blocked} = await createBlocked();
    await report(1_500);
    expect(blocked()).toHaveLength(1);
    announce(3, {sequence: 2});
    await report(100);
    expect(blocked()).toEqual([]);
  });

  it('counts while another incarnation is announced', async () => {
    const {report, announce, blocked} = await createBlocked();
    await report(1_500);
    for (const server of [1, 2, 3, 4]) {
      announce(server, {startedAt: 50, sequence: 2});
    }
    await report(100);
    expect(blocked()).toHaveLength(1);
  });

  it('counts while a late announcement comes', async () => {
    const topic = createTopic();
    for (const server of [1, 2, 3, 4]) {
      topic.announce(server);
      await topic.crash(server);
      topic.announce(server, {sequence: 2});
    }
    await topic.report(100);
    expect(topic.blocked()).toHaveLength(1);
  });

  it('does not lead to a block if it is disproved before', async () => {
    const {crash, report, announce, blocked} = createTopic();
    for (const server of [1, 2, 3, 4]) announce(server);
    for (const server of [1, 2, 3]) await crash(server);
    await report(1_500);
    announce(1, {sequence: 2});
    await crash(4);
    expect(blocked()).toEqual([]);
  });
});

// Guards against a sound part that is refused with one that crashes servers
// (issue 46).
describe('parts that are blocked together', () => {
  const parts = ['shared', 'harmful'];

  it('leave the one that was not answered', async () => {
    const {report, blocked} = await createBlocked(parts);
    expect(blocked()).toMatchObject([{companions: ['shared']}]);
    await report(500, {answeredParts: ['shared']});
    expect(blocked()).toMatchObject([{part: 'harmful'}]);
    expect(blocked()[0]).not.toHaveProperty('companions');
  });

  it('leave the other one if the named one is answered', async () => {
    const {report, blocked} = await createBlocked(parts);
    await report(500, {answeredParts: ['harmful']});
    expect(blocked()).toMatchObject([{part: 'shared'}]);
    expect(blocked()[0]).not.toHaveProperty('companions');
  });

  it('leave the one that crashes a server without the other', async () => {
    const {crash, report, blocked} = await createBlocked(parts);
    await crash(5, ['harmful']);
    await report(600);
    expect(blocked()).toMatchObject([{part: 'harmful'}]);
    expect(blocked()[0]).not.toHaveProperty('companions');
  });

  it('are not blocked again by the same evidence', async () => {
    const {report, blocked} = await createBlocked(parts);
    const before = blocked();
    for (let round = 0; round < 3; round++) await report(500);
    expect(blocked()).toEqual(before);
  });
});
