/**
 * @fileoverview Tests safety and recovery of a simulated group under random faults.
 */
import fc from 'fast-check';
import {expect, it} from 'vitest';

import {FakeGroup, type FakeNode} from './support/fakeGroup.js';

type Action = (group: FakeGroup, node: FakeNode, step: number) => unknown;

const actions: Record<string, Action> = {
  propose: (group, node, step) => group.propose(node, `${node.name}-${step}`),
  proposeToLeaders: (group, _node, step) =>
    group.leaders.forEach(leader =>
      [1, 2, 3].forEach(n =>
        group.propose(leader, `${leader.name}-${step}-${n}`),
      ),
    ),
  crash: (_group, node) => node.crash(),
  reboot: async (_group, node) => {
    node.crash();
    await node.restart();
  },
  rebootLeaders: async group => {
    for (const node of group.leaders) await actions['reboot']!(group, node, 0);
  },
  rebootFollowers: async group => {
    const followers = group.nodes.filter(node => !group.leaders.includes(node));
    for (const node of followers) await actions['reboot']!(group, node, 0);
  },
  crashAll: group => group.nodes.forEach(node => node.crash()),
  restart: (_group, node) => node.restart(),
  restartAll: group => Promise.all(group.nodes.map(node => node.restart())),
  partition: (_group, node) => (node.isPartitioned = true),
  partitionLeaders: group =>
    group.leaders.forEach(node => (node.isPartitioned = true)),
  heal: group => group.nodes.forEach(node => (node.isPartitioned = false)),
  pause: (_group, node) => (node.isPaused = node.replica !== undefined),
  pauseLeaders: group => group.leaders.forEach(node => (node.isPaused = true)),
  resume: (_group, node) => node.resume(),
  resumeAll: group => Promise.all(group.nodes.map(node => node.resume())),
  loseDisk: (group, node) => group.loseDisk(node),
  transfer: (_group, node) =>
    void node.replica?.transferLeadership().catch(() => undefined),
};

/** Names of actions, with proposals more likely than the others. */
const schedule = fc.array(
  fc.record({
    action: fc.oneof(
      {weight: 6, arbitrary: fc.constant('proposeToLeaders')},
      {weight: 12, arbitrary: fc.constantFrom(...Object.keys(actions))},
    ),
    node: fc.nat(3),
    wait: fc.oneof(fc.nat(20), fc.nat(150), fc.nat(1_500)),
  }),
  {minLength: 20, maxLength: 60},
);

async function runSchedule(
  seed: number,
  steps: {action: string; node: number; wait: number}[],
): Promise<FakeGroup> {
  const group = new FakeGroup(seed, 4);
  await group.bootstrap(3);
  for (const [step, {action, node, wait}] of steps.entries()) {
    await actions[action]!(group, group.nodes[node]!, step);
    await group.time.run(wait);
    if (group.failures.length > 0) throw group.failures[0];
  }
  return group;
}

/**
 * Ends all faults; the group must recover without loss of acknowledged data.
 */
async function expectRecovery(group: FakeGroup): Promise<void> {
  group.lossRate = 0;
  await actions['heal']!(group, group.nodes[0]!, 0);
  await actions['resumeAll']!(group, group.nodes[0]!, 0);
  await actions['restartAll']!(group, group.nodes[0]!, 0);
  await group.time.run(12_000);
  for (const leader of group.leaders) group.propose(leader, 'last');
  await group.time.run(1_000);
  expect(group.failures).toEqual([]);
  const {acknowledged, committed} = group.model;
  expect([...acknowledged]).toContain('last');
  expect(new Set(committed).size).toBe(committed.length);
  const [leader] = group.leaders;
  expect(leader?.state).toEqual(committed);
  for (const command of acknowledged) expect(committed).toContain(command);
  for (const {replica, storage} of group.nodes) {
    const {lastApplied} = replica!.status();
    const history = await storage.history(0, Infinity, lastApplied);
    const commands = history.flatMap(entry => entry.commands ?? []);
    expect(commands).toEqual(committed.slice(0, commands.length));
    expect(history.length).toBe(lastApplied);
  }
}

const runs = Number(process.env['CONSENSUS_RUNS'] ?? 40);
const seeds = (process.env['CONSENSUS_SEED'] ?? '1,2').split(',').map(Number);

it.each(seeds)(
  'preserves safety and recovers under random faults, seed %i',
  seed =>
    fc.assert(
      fc.asyncProperty(fc.nat(), schedule, async (groupSeed, steps) => {
        await expectRecovery(await runSchedule(groupSeed, steps));
      }),
      {seed, numRuns: runs, endOnFailure: true},
    ),
);
