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
import {settle, VirtualTime} from './support/virtualTime.js';

const members = ['a', 'b', 'c'].map(id => ({
  id,
  instance: id,
  address: id,
  role: 'voter' as const,
}));

const founding: Entry = {
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

/** Replica `a`, whose disk and peers do what the test says. */
class Fixture {
  replica!: Replica;
  storage!: CrashableStorage;
  readonly time = new VirtualTime();
  /** Newest entry that each peer takes. */
  readonly limits: Record<string, number> = {b: 1, c: 1, d: 1};
  applyMilliseconds = 0;
  /** The peer that no longer answers. */
  silent = '';
  /** Kinds of the messages sent so far. */
  readonly sent: string[] = [];
  private isHeld = false;
  private writes: (() => void)[] = [];

  constructor(private readonly tuning: Partial<ReplicaTuning> = {}) {}

  async open(): Promise<this> {
    const schedule = (_delay: number, callback: () => void) => {
      if (this.isHeld) this.writes.push(callback);
      else callback();
    };
    const storage = new CrashableStorage('a', () => 0, schedule);
    this.storage = storage;
    await storage.append([founding, oldEntry]);
    await storage.saveHardState({term: 3});
    const {index, term, timestamp} = founding;
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

  hold(): void {
    this.isHeld = true;
  }

  async release(): Promise<void> {
    this.isHeld = false;
    for (const write of this.writes.splice(0)) write();
    await settle();
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
    if (id === this.silent) await new Promise(() => undefined);
    const isPreVote = message.kind === 'vote' && message.preVote;
    this.sent.push(isPreVote ? 'preVote' : message.kind);
    if (message.kind === 'vote') {
      return {kind: 'vote', term: message.preVote ? 3 : term, granted: true};
    }
    if (message.kind !== 'append') throw new Error('not expected');
    const matchIndex = message.previousIndex + message.entries.length;
    if (message.previousIndex > 0 && message.previousIndex > this.limits[id]!) {
      return {
        kind: 'append',
        term,
        success: false,
        matchIndex: 0,
        nextIndex: 2,
      };
    }
    while (matchIndex > this.limits[id]!) {
      await new Promise<void>(resolve => this.time.schedule(10, resolve));
    }
    const nextIndex = matchIndex + 1;
    return {kind: 'append', term, success: true, matchIndex, nextIndex};
  }
}

/** Resolves with whether a promise is settled by now. */
async function isSettled(promise: Promise<unknown>): Promise<boolean> {
  let settled = false;
  promise.then(
    () => (settled = true),
    () => (settled = true),
  );
  await settle();
  return settled;
}

const vote = {kind: 'vote', from: 'b', to: 'a', lastIndex: 9} as const;
const ballot = {term: 5, lastTerm: 4, preVote: false, transfer: false} as const;
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
  fixture.hold();
  const answer = fixture.replica.receive({...vote, ...ballot});
  expect(await isSettled(answer)).toBe(false);
  await fixture.release();
  expect(await answer).toEqual({kind: 'vote', term: 5, granted: true});
  const rival = fixture.replica.receive({...vote, ...ballot, from: 'c'});
  expect(await rival).toMatchObject({granted: false});
});

it('asks for votes only once its own is durable', async () => {
  const fixture = await new Fixture().open();
  fixture.hold();
  fixture.replica.start();
  await fixture.time.run(1_001);
  expect(fixture.sent).toEqual(['preVote', 'preVote']);
  await fixture.release();
  expect(fixture.sent).toContain('vote');
});

it('acknowledges entries only once they are durable', async () => {
  const fixture = await new Fixture().open();
  fixture.hold();
  const first = fixture.replica.receive({...append});
  const repeated = fixture.replica.receive({...append});
  expect(await isSettled(first)).toBe(false);
  expect(await isSettled(repeated)).toBe(false);
  await fixture.release();
  await fixture.release();
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
  fixture.hold();
  fixture.limits['b'] = 4;
  const results = fixture.replica.propose(['x']);
  await fixture.time.run(300);
  expect(await isSettled(results)).toBe(false);
  await fixture.release();
  expect(await results).toEqual(['x']);
});

it('commits an older entry only with one of its own term', async () => {
  const fixture = await (await new Fixture().open()).lead();
  fixture.limits['b'] = 2;
  await fixture.time.run(300);
  expect(fixture.replica.status().commitIndex).toBe(1);
  const early = fixture.replica.addLearner({...members[0]!, id: 'd'});
  await expect(early).rejects.toThrow(MembershipChangeRejected);
  fixture.limits['b'] = 3;
  await fixture.time.run(300);
  expect(fixture.replica.status().commitIndex).toBe(3);
});

it('confirms a read only by a message sent after it came in', async () => {
  const fixture = await (await new Fixture().open()).lead();
  const {replica, limits, time} = fixture;
  limits['b'] = 3;
  await time.run(300);
  void replica.propose(['x']);
  const read = replica.barrier();
  limits['b'] = 4;
  fixture.silent = 'b'; // answers what it has got, and nothing more
  await time.run(50);
  expect(replica.status().commitIndex).toBe(4);
  expect(await isSettled(read)).toBe(false);
  fixture.silent = '';
  await time.run(700);
  expect(await read).toBe(3);
});

it('promotes a learner only while it answers', async () => {
  const fixture = await (await new Fixture().open()).lead();
  const {replica, limits, time} = fixture;
  Object.assign(limits, {b: 99, d: 99});
  await time.run(300);
  const addition = replica.addLearner({...members[0]!, id: 'd'});
  await time.run(300);
  await addition;
  fixture.silent = 'd'; // commits need no learner
  const results = replica.propose(['x']);
  await time.run(1_100);
  expect(await isSettled(results)).toBe(true);
  await expect(replica.promote('d')).rejects.toThrow(/not answered lately/);
  fixture.silent = '';
  await time.run(600);
  const promotion = replica.promote('d');
  await time.run(300);
  await promotion;
  expect(replica.status().members[3]).toMatchObject({id: 'd', role: 'voter'});
});

it('applies a long backlog in turns', async () => {
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

it('takes snapshots by bytes and keeps few trailing bytes', async () => {
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
  await settle();
  const snapshot = await fixture.storage.readSnapshot();
  expect(snapshot?.header.index).toBe(6);
  const {entries: kept} = await fixture.storage.load();
  expect(kept.map(({index}) => index)).toEqual([6]);
});
