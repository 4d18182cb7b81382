import {expect, it, vi} from 'vitest';

import {
  MembershipChangeRejected,
  NotLeader,
  OutcomeUnknown,
  type Replica,
} from '../src/index.js';
import {FakeGroup, type FakeNode} from './support/fakeGroup.js';
import {settle} from './support/virtualTime.js';

interface Situation {
  group: FakeGroup;
  leader: FakeNode;
  replica: Replica;
}

/** Three replicas with a leader, on a network without losses. */
async function makeSituation(): Promise<Situation> {
  const group = new FakeGroup(3, 3);
  group.lossRate = 0;
  await group.found(3);
  await group.time.run(3_000);
  const [leader] = group.leaders;
  return {group, leader: leader!, replica: leader!.replica!};
}

/** Watches a promise; `outcome` is its error's class once it rejects. */
function watch(promise: Promise<unknown>): {outcome: unknown} {
  const watched: {outcome: unknown} = {outcome: 'pending'};
  promise.then(
    () => (watched.outcome = 'resolved'),
    (error: Error) => (watched.outcome = error.constructor),
  );
  return watched;
}

it('steps down when it wakes, before it answers anything', async () => {
  const {group, leader, replica} = await makeSituation();
  const early = watch(replica.propose(['early']));
  const earlyRead = watch(replica.barrier());
  leader.isFrozen = true;
  await group.time.run(5_000);
  const successor = group.leaders.find(node => node !== leader)!;
  expect(successor).toBeDefined();
  group.propose(successor, 'later');
  await group.time.run(1_000);
  expect(successor.state).toContain('later');

  leader.isFrozen = false; // its timers and messages come after these calls
  const lateRead = watch(replica.barrier());
  const late = watch(replica.propose(['late']));
  await settle();
  expect(lateRead.outcome).toBe(NotLeader);
  expect(late.outcome).toBe(NotLeader);
  expect(early.outcome).toBe(OutcomeUnknown);
  expect(earlyRead.outcome).toBe(NotLeader);
  await leader.thaw();
  await group.time.run(2_000);
  expect(leader.state).toEqual(successor.state);
  expect(group.failures).toEqual([]);
});

it('uses no answer that waited while it was frozen', async () => {
  const {group, leader, replica} = await makeSituation();
  const proposal = watch(replica.propose(['early']));
  const read = watch(replica.barrier());
  await settle();
  leader.isFrozen = true;
  await group.time.run(5_000);
  await leader.thaw();
  expect(proposal.outcome).toBe(OutcomeUnknown);
  expect(read.outcome).toBe(NotLeader);
});

it('steps down without a majority, and says who leads afterwards', async () => {
  const {group, leader, replica} = await makeSituation();
  leader.isCutOff = true;
  const read = watch(replica.barrier());
  const proposal = watch(replica.propose(['lost']));
  await group.time.run(600);
  expect(replica.status().role).not.toBe('leader');
  expect(read.outcome).toBe(NotLeader);
  expect(proposal.outcome).toBe(OutcomeUnknown);
  leader.isCutOff = false;
  await group.time.run(3_000);
  const [successor] = group.leaders;
  const follower = group.nodes.find(node => node !== successor)!;
  const refusal = follower.replica!.propose(['x']);
  await expect(refusal).rejects.toMatchObject({
    leader: {id: successor!.member.id},
  });
});

it('never disturbs a leader from outside the members', async () => {
  const {group, replica} = await makeSituation();
  const {term} = replica.status();
  const node = group.nodes.find(other => other.replica !== replica)!;
  node.isCutOff = true;
  await group.time.run(4_000);
  node.isCutOff = false;
  await group.time.run(4_000);
  expect(replica.status()).toMatchObject({role: 'leader', term});
});

it('refuses a message for the identity of a lost disk', async () => {
  const {group, leader} = await makeSituation();
  const other = group.nodes.find(node => node !== leader)!;
  const former = other.member.id;
  group.loseDisk(other);
  await other.restart();
  const vote = other.replica!.receive({
    kind: 'vote',
    from: leader.member.id,
    to: former,
    term: 99,
    lastIndex: 99,
    lastTerm: 98,
    preVote: false,
    transfer: true,
  });
  const {id} = other.member;
  expect(await vote).toEqual({kind: 'wrongReplica', id});
  await group.time.run(4_000);
  expect(other.replica!.status().term).toBeLessThan(99);
});

it('keeps to heartbeats towards a replica with another identity', async () => {
  const {group, leader} = await makeSituation();
  const other = group.nodes.find(node => node !== leader)!;
  group.loseDisk(other);
  await other.restart();
  group.isReading = false;
  const received = vi.spyOn(other.replica!, 'receive');
  group.propose(leader, 'pending');
  await group.time.run(1_000);
  expect(received.mock.calls.length).toBeLessThanOrEqual(21);
});

it('changes one member at a time', async () => {
  const {group, replica} = await makeSituation();
  const member = (id: string) =>
    ({id, instance: id, address: 'a', role: 'learner'}) as const;
  const first = replica.addLearner(member('x'));
  const second = watch(replica.addLearner(member('y')));
  const third = watch(replica.removeMember('a1'));
  await settle();
  expect(second.outcome).toBe(MembershipChangeRejected);
  expect(third.outcome).toBe(MembershipChangeRejected);
  const promotion = watch(first.then(() => replica.promote('x')));
  await group.time.run(1_500);
  expect(promotion.outcome).toBe(MembershipChangeRejected);
});
