/**
 * @fileoverview Tests elections of a simulated group whose disks are slow.
 */
import {expect, it} from 'vitest';

import {FakeGroup} from './support/fakeGroup.js';

/** Time of each write; election timeouts are 400 to 700 ms. */
const writeMilliseconds = 130;

/** Maximum time until a group with slow disks has a leader. */
const maxElectionMilliseconds = 8_000;

async function timeToLeader(seed: number): Promise<number> {
  const group = new FakeGroup(seed, 5);
  group.lossRate = 0;
  for (const {storage} of group.nodes) {
    storage.writeMilliseconds = writeMilliseconds;
  }
  await group.bootstrap(5);
  const startedAt = group.time.now;
  while (group.leaders.length === 0) {
    if (group.time.now - startedAt > 60_000) break;
    await group.time.run(50);
  }
  return group.time.now - startedAt;
}

// If all disks are slow at once, candidates save their votes for so long that
// they could split the vote again and again.
it('elects a leader when all disks are slow', async () => {
  const times: number[] = [];
  for (let seed = 1; seed <= 30; seed++) times.push(await timeToLeader(seed));
  expect(Math.max(...times), times.join()).toBeLessThan(
    maxElectionMilliseconds,
  );
});
