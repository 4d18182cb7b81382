/**
 * @fileoverview Tests that replies and commits wait for durable writes.
 */
import {expect, it} from 'vitest';

import {
  type ConsensusMessage,
  type ConsensusReply,
  type Entry,
  MembershipChangeRejected,
  Replica,
  type ReplicaTuning,
} from '../src/index.js';
import {CrashableStorage} from './support/crashableStorage.js';
import {flushPromises, VirtualTime} from './support/virtualTime.js';

const members = ['a', 'b', 'c'].map(id => ({
  id,
  instance: id,
  address: id,
  role: 'voter' as const,
}));

const bootstrapEntry: Entry = {
  index: 1,
  term: 1,
  timestamp: 0,
  kind: 'membership',
  members,
};

const oldEntry: Entry = {
  index: 2,
  term: 2,
  timestamp: 0,
  kind: 'commands',
  commands: ['old'],
};

/** Replica `a` with a disk and peers that the test controls. */
class Fixture {
  replica!: Replica;
  storage!: CrashableStorage;
  readonly time = new VirtualTime();
  /** Highest index that each peer accepts. */
  readonly matchLimits: Record<string, number> = {b: 1, c: 1, d: 1};
  applyMilliseconds = 0;
  /** Id of the peer that doesn't reply. */
  silentPeer = '';
  /** Kinds of the messages sent so far. */
  readonly sent: string[] = [];
  private areWritesHeld = false;
  private writes: (() => void)[] = [];

  constructor(private readonly tuning: Partial<ReplicaTuning> = {}) {}

  async open(): Promise<this> {
    const schedule = (_delay: number, callback: () => void) => {
      if (this.areWritesHeld) this.writes.push(callback);
      else callback();
    };
    const storage = new CrashableStorage('a', () => 0, schedule);
    this.storage = storage;
    await storage.append([bootstrapEntry, oldEntry]);
    await storage.saveHardState({term: 3});
    const {index, term, timestamp} = bootstrapEntry;
    const header = {index, term, timestamp, members};
    await storage.saveSnapshot({header, text: 'null'}, 0);
    this.replica = await Replica.open({
      member: members[0]!,
      storage,
      stateMachine: {
        apply: ({commands}) => {
          this.time.now += this.applyMilliseconds;
          return commands!;
        },
        snapshot: () => null,
        restore: () => undefined,
      },
      transport: {send: (to, message) => this.answer(to.id, message)},
      clock: {
        now: () => this.time.now,
        setTimer: (delay, callback) => this.time.schedule(delay, callback),
      },
      random: () => 0,
      maxMessageEntries: 1,
      ...this.tuning,
    });
    return this;
  }

  holdWrites(): void {
    this.areWritesHeld = true;
  }

  async releaseWrites(): Promise<void> {
    this.areWritesHeld = false;
    for (const write of this.writes.splice(0)) write();
    await flushPromises();
  }

  async lead(): Promise<this> {
    this.replica.start();
    await this.time.run(1_001);
    expect(this.replica.status().role).toBe('leader');
    return this;
  }

  private async answer(
    id: string,
    message: ConsensusMessage,
  ): Promise<ConsensusReply> {
    const {term} = message as {term: number};
    if (id === this.silentPeer) await new Promise(() => undefined);
    const isPreVote = message.kind === 'vote' && message.preVote;
    this.sent.push(isPreVote ? 'preVote' : message.kind);
    if (message.kind === 'vote') {
      return {kind: 'vote', term: message.preVote ? 3 : term, granted: true};
    }
    if (message.kind !== 'append') throw new Error('unexpected message');
    const matchIndex = message.previousIndex + message.entries.length;
    if (
      message.previousIndex > 0 &&
      message.previousIndex > this.matchLimits[id]!
    ) {
      return {
        kind: 'append',
        term,
        success: false,
        matchIndex: 0,
        nextIndex: 2,
      };
    }
    while (matchIndex > this.matchLimits[id]!) {
      await new Promise<void>(resolve => this.time.schedule(10, resolve));
    }
    const nextIndex = matchIndex + 1;
    return {kind: 'append', term, success: true, matchIndex, nextIndex};
  }
}

/** Resolves with whether a promise is already settled. */
async function isSettled(promise: Promise<unknown>): Promise<boolean> {
  let settled = false;
  promise.then(
    () => (settled = true),
    () => (settled = true),
  );
  await flushPromises();
  return settled;
}

const vote = {kind: 'vote', from: 'b', to: 'a', lastIndex: 9} as const;
const voteParameters = {
  term: 5,
  lastTerm: 4,
  preVote: false,
  transfer: false,
} as const;
const append = {
  kind: 'append',
  from: 'b',
  to: 'a',
  term: 5,
  leader: members[1]!,
  previousIndex: 2,
  previousTerm: 2,
  entries: [{index: 3, term: 5, timestamp: 0, kind: 'noop'}] as Entry[],
  commitIndex: 0,
} as const;

it('answers a candidate only once the vote is durable', async () => {
  const fixture = await new Fixture().open();
  fixture.holdWrites();
  const answer = fixture.replica.receive({...vote, ...voteParameters});
  expect(await isSettled(answer)).toBe(false);
  await fixture.releaseWrites();
  expect(await answer).toEqual({kind: 'vote', term: 5, granted: true});
  const rival = fixture.replica.receive({
    ...vote,
    ...voteParameters,
    from: 'c',
  });
  expect(await rival).toMatchObject({granted: false});
});

it('requests votes only once its own vote is durable', async () => {
  const fixture = await new Fixture().open();
  fixture.holdWrites();
  fixture.replica.start();
  await fixture.time.run(1_001);
  expect(fixture.sent).toEqual(['preVote', 'preVote']);
  await fixture.releaseWrites();
  expect(fixture.sent).toContain('vote');
});

it('acknowledges entries only once they are durable', async () => {
  const fixture = await new Fixture().open();
  fixture.holdWrites();
  const first = fixture.replica.receive({...append});
  const repeated = fixture.replica.receive({...append});
  expect(await isSettled(first)).toBe(false);
  expect(await isSettled(repeated)).toBe(false);
  await fixture.releaseWrites();
  await fixture.releaseWrites();
  expect(await first).toMatchObject({success: true, matchIndex: 3});
  expect(await repeated).toMatchObject({success: true, matchIndex: 3});
});

it('commits no entry that the leader has not confirmed', async () => {
  const {replica} = await new Fixture().open();
  const previous = {previousIndex: 1, previousTerm: 1};
  const heartbeat = {...append, ...previous, entries: [], commitIndex: 2};
  const reply = await replica.receive(heartbeat);
  expect(reply).toMatchObject({success: true, matchIndex: 1});
  expect(replica.status().commitIndex).toBe(1);
});

it('counts its own copy only once it is durable', async () => {
  const fixture = await (await new Fixture().open()).lead();
  fixture.holdWrites();
  fixture.matchLimits['b'] = 4;
  const results = fixture.replica.propose(['x']);
  await fixture.time.run(300);
  expect(await isSettled(results)).toBe(false);
  await fixture.releaseWrites();
  expect(await results).toEqual(['x']);
});

it('commits an entry of an older term only with one of its own term', async () => {
  const fixture = await (await new Fixture().open()).lead();
  fixture.matchLimits['b'] = 2;
  await fixture.time.run(300);
  expect(fixture.replica.status().commitIndex).toBe(1);
  const early = fixture.replica.addLearner({...members[0]!, id: 'd'});
  await expect(early).rejects.toThrow(MembershipChangeRejected);
  fixture.matchLimits['b'] = 3;
  await fixture.time.run(300);
  expect(fixture.replica.status().commitIndex).toBe(3);
});

it('confirms a read only by a message sent after the read arrived', async () => {
  const fixture = await (await new Fixture().open()).lead();
  const {replica, matchLimits, time} = fixture;
  matchLimits['b'] = 3;
  await time.run(300);
  void replica.propose(['x']);
  const read = replica.barrier();
  matchLimits['b'] = 4;
  fixture.silentPeer = 'b'; // it still answers earlier messages
  await time.run(50);
  expect(replica.status().commitIndex).toBe(4);
  expect(await isSettled(read)).toBe(false);
  fixture.silentPeer = '';
  await time.run(700);
  expect(await read).toBe(3);
});

it('promotes a learner only while it answers', async () => {
  const fixture = await (await new Fixture().open()).lead();
  const {replica, matchLimits, time} = fixture;
  Object.assign(matchLimits, {b: 99, d: 99});
  await time.run(300);
  const addition = replica.addLearner({...members[0]!, id: 'd'});
  await time.run(300);
  await addition;
  fixture.silentPeer = 'd'; // a commit doesn't depend on learners
  const results = replica.propose(['x']);
  await time.run(1_100);
  expect(await isSettled(results)).toBe(true);
  await expect(replica.promote('d')).rejects.toThrow(/not answered lately/);
  fixture.silentPeer = '';
  await time.run(600);
  const promotion = replica.promote('d');
  await time.run(300);
  await promotion;
  expect(replica.status().members[3]).toMatchObject({id: 'd', role: 'voter'});
});

it('applies a long backlog in slices', async () => {
  const fixture = await new Fixture().open();
  const entries = [3, 4, 5, 6].map(index => ({...oldEntry, index}));
  fixture.applyMilliseconds = 15;
  const {replica, time} = fixture;
  await replica.receive({...append, entries, commitIndex: 6});
  expect(replica.status()).toMatchObject({commitIndex: 6, lastApplied: 3});
  await time.run(0);
  await time.run(100);
  expect(replica.status()).toMatchObject({lastApplied: 6});
});

it('takes snapshots by size and limits the size of trailing entries', async () => {
  const fixture = await new Fixture({
    snapshotEveryBytes: 1_100,
    trailingBytes: 450,
  }).open();
  const commands = ['x'.repeat(200)];
  const entries = [3, 4, 5, 6].map(index => ({...oldEntry, index, commands}));
  await fixture.replica.receive({...append, entries, commitIndex: 5});
  const first = await fixture.storage.readSnapshot();
  expect(first?.header.index).toBe(1);
  await fixture.replica.receive({...append, entries, commitIndex: 6});
  await flushPromises();
  const snapshot = await fixture.storage.readSnapshot();
  expect(snapshot?.header.index).toBe(6);
  const {entries: kept} = await fixture.storage.load();
  expect(kept.map(({index}) => index)).toEqual([6]);
});
