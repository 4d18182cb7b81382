import {expect, it} from 'vitest';

import {FakeGroup} from './support/fakeGroup.js';

/** Time of a write that a few election timeouts hold: 400 ms, at random twice. */
const writeMilliseconds = 130;

/** Time within which a group whose disks are slow has a leader. */
const boundMilliseconds = 8_000;

async function timeToLeader(seed: number): Promise<number> {
  const group = new FakeGroup(seed, 5);
  group.lossRate = 0;
  for (const {storage} of group.nodes) {
    storage.writeMilliseconds = writeMilliseconds;
  }
  await group.found(5);
  const startedAt = group.time.now;
  while (group.leaders.length === 0) {
    if (group.time.now - startedAt > 60_000) break;
    await group.time.run(50);
  }
  return group.time.now - startedAt;
}

/** Pattern: all disks are slow at once, so that elections take long. */
it('a group whose disks are slow elects a leader', async () => {
  const times: number[] = [];
  for (let seed = 1; seed <= 30; seed++) times.push(await timeToLeader(seed));
  expect(Math.max(...times), times.join()).toBeLessThan(boundMilliseconds);
});
