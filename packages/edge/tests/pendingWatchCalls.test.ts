/** @fileoverview Tests how many watch calls a router keeps, and how often it searches. */
import {describe, expect, it} from 'vitest';

import {PendingWatchCalls} from '../src/pendingWatchCalls.js';
import {chooseTargets, searchPause} from '../src/searchRound.js';
import {createVirtualClock} from './support/virtualClock.js';

const addresses = ['c-0:1', 'c-1:1', 'c-2:1', 'c-3:1', 'c-4:1'];

/** Time after which another call may take the place of one. */
const patienceMilliseconds = 1_600;

/** Router that gets no reply for a time, and calls as often as it may. */
async function playSilence(milliseconds: number) {
  const clock = createVirtualClock();
  const pending = new PendingWatchCalls(clock);
  const add = (kind: 'poll' | 'ask', address: string) => {
    const call = {address, sentAt: clock.now(), waitMilliseconds: 0};
    (kind === 'poll' ? pending.polls : pending.asks).add(call);
  };
  for (const address of addresses) {
    for (let count = 0; count < 3; count++) add('poll', address);
  }
  const asked = new Set<string>();
  for (let waited = 0; waited < milliseconds; waited += 250) {
    await clock.runUntil(clock.now() + 250);
    if (!pending.isSilent) continue;
    const first = (waited / 250) % addresses.length;
    const rotated = [...addresses.slice(first), ...addresses.slice(0, first)];
    for (const address of rotated) {
      const kind = pending.dueInSilence(address, patienceMilliseconds);
      if (kind !== undefined) add(kind, address);
      if (kind === 'ask') asked.add(address);
    }
  }
  return {pending, asked};
}

// Guards against calls of all routers that arrive together when a partition ends, and
// keep the leader from its own messages (issue 49).
describe('a router that no process replies to', () => {
  it('keeps one poll at each process, and two other calls', async () => {
    const {pending} = await playSilence(7_500);
    expect(pending.polls.count).toBe(addresses.length);
    expect(pending.asks.count).toBeLessThanOrEqual(2);
  });

  it('asks each process in turn', async () => {
    const {asked} = await playSilence(12_000);
    expect([...asked].sort()).toEqual(addresses);
  });
});

// Guards against a search that keeps the processors of all control processes busy, so
// that none is elected (issue 49).
describe('the search of a fleet', () => {
  it('makes a bounded number of rounds a second, however many routers', () => {
    for (const routers of [6, 30, 91, 195, 400, 1_000]) {
      const roundsPerSecond = (1_000 / searchPause(0, routers)) * routers;
      expect(roundsPerSecond).toBeLessThanOrEqual(1_500);
    }
  });

  it('asks the likely leader and one other process that hold a call', () => {
    const state = {addresses, isHolding: () => true, probes: 2};
    const asked = new Set<string>();
    for (let round = 0; round < 5; round++) {
      const targets = chooseTargets({
        ...state,
        namedLeader: 'c-3:1',
        probed: round,
      });
      expect(targets.polled).toEqual([]);
      expect(targets.asked).toContain('c-3:1');
      expect(targets.asked.length).toBeLessThanOrEqual(2);
      for (const address of targets.asked) asked.add(address);
    }
    expect([...asked].sort()).toEqual(addresses);
  });
});
