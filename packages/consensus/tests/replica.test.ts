/**
 * @fileoverview Tests groups of replicas with real files and timers.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';

import {afterEach, expect, it, vi} from 'vitest';

import {
  type ConsensusMessage,
  type ConsensusReply,
  type Entry,
  FileStorage,
  type Member,
  NotLeader,
  Replica,
  type ReplicaTuning,
  systemClock,
} from '../src/index.js';

/**
 * The tests wait for results and don't check speed. While other processes copy
 * large folders, one sync takes 80 ms, and some results then take longer than
 * the default of one second.
 */
const waitOptions = {timeout: 12_000, interval: 20};

interface Node {
  replica: Replica;
  member: Member;
  applied: unknown[];
}

const failures: unknown[] = [];
const cleanups: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
  expect(failures.splice(0)).toEqual([]);
});

async function makeFolder(): Promise<string> {
  const folder = await mkdtemp(path.join(os.tmpdir(), 'consensus-'));
  cleanups.push(() => rm(folder, {recursive: true}));
  return folder;
}

/** Replicas with real files and real time that call each other directly. */
class Group {
  readonly nodes = new Map<string, Node>();
  private readonly folders = new Map<string, string>();

  constructor(private readonly tuning: Partial<ReplicaTuning> = {}) {}

  async open(instance: string): Promise<Node> {
    const folder = this.folders.get(instance) ?? (await makeFolder());
    this.folders.set(instance, folder);
    const storage = await FileStorage.open(folder, {segmentBytes: 2_000});
    const member: Member = {
      id: storage.identity,
      instance,
      address: instance,
      role: 'voter',
    };
    const applied: unknown[] = [];
    const replica = await Replica.open({
      member,
      storage,
      stateMachine: {
        apply: entry => (entry.commands ?? []).map(c => applied.push(c)),
        snapshot: () => applied,
        restore: state =>
          void applied.splice(0, Infinity, ...(state as unknown[])),
      },
      transport: {send: (to, message) => this.send(to, message)},
      clock: systemClock,
      random: Math.random,
      heartbeatIntervalMilliseconds: 20,
      electionTimeoutMilliseconds: 300,
      onFailure: error => failures.push(error),
      ...this.tuning,
    });
    const node = {replica, member, applied};
    this.nodes.set(instance, node);
    cleanups.push(() => this.stop(instance));
    return node;
  }

  async bootstrap(...instances: string[]): Promise<void> {
    const nodes = [];
    for (const instance of instances) nodes.push(await this.open(instance));
    const members = nodes.map(({member}) => member);
    for (const {replica} of nodes) await replica.bootstrap(members);
    for (const {replica} of nodes) replica.start();
  }

  async stop(instance: string): Promise<void> {
    const node = this.nodes.get(instance);
    this.nodes.delete(instance);
    await node?.replica.stop();
  }

  async leader(): Promise<Node> {
    return vi.waitFor(() => {
      const leaders = [...this.nodes.values()].filter(
        ({replica}) => replica.status().role === 'leader',
      );
      expect(leaders).toHaveLength(1);
      return leaders[0]!;
    }, waitOptions);
  }

  private async send(
    to: Member,
    message: ConsensusMessage,
  ): Promise<ConsensusReply> {
    const node = this.nodes.get(to.address);
    if (node === undefined) throw new Error('connection refused');
    const copy = JSON.parse(JSON.stringify(message)) as ConsensusMessage;
    return node.replica.receive(copy);
  }
}

it('commits and applies on three replicas and survives the loss of the leader', async () => {
  const group = new Group();
  await group.bootstrap('a', 'b', 'c');
  const first = await group.leader();
  const results = await Promise.all(
    [1, 2, 3].map(n => first.replica.propose([n, -n])),
  );
  expect(results).toEqual([
    [1, 2],
    [3, 4],
    [5, 6],
  ]);
  await group.stop(first.member.instance);
  const second = await group.leader();
  await second.replica.propose([4]);
  await second.replica.barrier();
  expect(second.applied).toEqual([1, -1, 2, -2, 3, -3, 4]);
  const back = await group.open(first.member.instance);
  back.replica.start();
  await vi.waitFor(
    () => expect(back.applied).toEqual(second.applied),
    waitOptions,
  );
});

it('restarts from a snapshot after hundreds of changes and keeps all history', async () => {
  const group = new Group({snapshotEveryEntries: 50, trailingEntries: 10});
  await group.bootstrap('a', 'b', 'c');
  const {replica} = await group.leader();
  for (let n = 0; n < 300; n++) await replica.propose([n]);
  const instances = [...group.nodes.keys()];
  for (const instance of instances) await group.stop(instance);
  for (const instance of instances) {
    (await group.open(instance)).replica.start();
  }
  const leader = await group.leader();
  await leader.replica.barrier();
  const numbers = Array.from({length: 300}, (_, n) => n);
  expect(leader.applied).toEqual(numbers);
  const history = await leader.replica.history(0, 1_000);
  expect(history.map(({index}) => index)).toEqual(
    Array.from(history, (_, position) => position + 1),
  );
  expect(commandsOf(history)).toEqual(numbers);
  const part = await leader.replica.history(100, 20);
  expect(part.map(({index}) => index)).toEqual(
    Array.from({length: 20}, (_, n) => 101 + n),
  );
});

it('replaces a member: learner by snapshot, promotion, removal of the leader', async () => {
  const group = new Group({
    snapshotEveryEntries: 50,
    trailingEntries: 10,
    maxMessageBytes: 400,
  });
  await group.bootstrap('a', 'b', 'c');
  const leader = await group.leader();
  for (let n = 0; n < 200; n++) await leader.replica.propose([n]);
  const added = await group.open('d');
  added.replica.start();
  await leader.replica.addLearner(added.member);
  await vi.waitFor(() => leader.replica.promote(added.member.id), waitOptions);
  expect(added.applied).toEqual(leader.applied);
  await vi.waitFor(async () => {
    const history = await added.replica.history(0, 1_000);
    expect(commandsOf(history)).toEqual(leader.applied);
  }, waitOptions);
  await leader.replica.removeMember(leader.member.id);
  await group.stop(leader.member.instance);
  const next = await group.leader();
  expect(next.replica.status().members).toHaveLength(3);
  await next.replica.propose(['after']);
  await vi.waitFor(
    () => expect(added.applied.at(-1)).toBe('after'),
    waitOptions,
  );
});

it('runs with one replica and grows to three', async () => {
  const group = new Group();
  await group.bootstrap('a');
  const {replica} = await group.leader();
  expect(await replica.propose([1])).toEqual([1]);
  await replica.barrier();
  for (const instance of ['b', 'c']) {
    const added = await group.open(instance);
    added.replica.start();
    await replica.addLearner(added.member);
    await vi.waitFor(() => replica.promote(added.member.id), waitOptions);
  }
  await replica.propose([2]);
  await group.stop('a');
  const next = await group.leader();
  await next.replica.barrier();
  expect(next.applied).toEqual([1, 2]);
});

it('hands leadership over', async () => {
  const group = new Group();
  await group.bootstrap('a', 'b', 'c');
  const leader = await group.leader();
  await leader.replica.transferLeadership();
  await expect(leader.replica.propose([1])).rejects.toThrow(NotLeader);
  const next = await group.leader();
  expect(next.member.id).not.toBe(leader.member.id);
});

function commandsOf(entries: Entry[]): unknown[] {
  return entries.flatMap(({commands}) => commands ?? []);
}
