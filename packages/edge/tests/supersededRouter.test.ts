/**
 * @fileoverview A router's process is paused, another process starts as the same
 * instance, and the first one resumes.
 */
import {describe, expect, it} from 'vitest';

import {MemoryFleet, workspace} from './support/memoryFleet.js';

const prepaid = 100_000;

describe('a paused router that was superseded', () => {
  // Guards against double spending: the resumed incarnation spends tokens that
  // were meanwhile granted to others as unspent (issue 23).
  it.each([1_000, 3_000, 9_000, 60_000])(
    'spends nothing that was granted to others: after %i ms',
    milliseconds => {
      const fleet = new MemoryFleet(2, prepaid);
      const [paused, other] = fleet.routers;
      if (paused === undefined || other === undefined) throw new Error();
      fleet.fund(paused, 80_000);
      fleet.report(paused, {grantUpTo: 80_000});
      const successor = fleet.replace(paused);
      fleet.report(successor);
      // Another router is granted all returned tokens.
      fleet.fund(other, prepaid);
      const spentByOthers = fleet.spendAll(other) + fleet.spendAll(successor);
      fleet.clock.advance(milliseconds);
      const spent = fleet.spendAll(paused);
      expect(spentByOthers + spent).toBeLessThanOrEqual(prepaid);
    },
  );

  it('is told that it was superseded, and spends nothing more', () => {
    const fleet = new MemoryFleet(1, prepaid);
    const [paused] = fleet.routers;
    if (paused === undefined) throw new Error();
    fleet.fund(paused, 50_000);
    fleet.report(fleet.replace(paused));
    fleet.report(paused);
    expect(paused.grants.isOver).toBe(true);
    expect(paused.grants.available(workspace)).toBe(0);
  });
});
