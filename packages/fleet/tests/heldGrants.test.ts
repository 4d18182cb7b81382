/** @fileoverview Commitments of a router whose reports are confirmed late. */
import {describe, expect, it} from 'vitest';

import {HeldGrants} from '../src/index.js';

const workspace = 'desk';
const granted = 200_000;

/** A small part of the grant may be spent at once under one commitment. */
const spendableAtOnce = granted * 0.03;

/** The pace at which more of the grant may be spent, in tokens per millisecond. */
const pace = (0.85 * granted) / 11_500;

function createGrants(): HeldGrants {
  const grants = new HeldGrants();
  const {reportedAt} = grants.report(true, 1_000);
  grants.confirm(reportedAt);
  const offer = {workspace, granted, target: granted, remaining: 0};
  grants.accept(offer, 1_000);
  return grants;
}

/** Makes a commitment and returns its time; the leader has not replied yet. */
function commit(grants: HeldGrants, now: number, ahead = 0): number {
  const {reportedAt} = grants.report(true, now, ahead);
  if (reportedAt === undefined) throw new Error('no commitment was made');
  return reportedAt;
}

function spendable(grants: HeldGrants, now: number): number {
  return Math.round(grants.spendable(workspace, now));
}

describe('an open reservation', () => {
  // Guards against charging requests that have begun at their most when their
  // router loses its power (issue 52).
  it('counts as used as far as its use is known', () => {
    const grants = createGrants();
    grants.confirm(commit(grants, 1_000));
    const reservation = grants.reserve(workspace, 4_000, 1_000)!;
    grants.recordUse(reservation, 3_000.5);
    grants.recordUse(reservation, 2_000);
    const usageOf = () => grants.report(true, 1_100).usages[0];
    expect(usageOf()).toMatchObject({used: 3_001, reserved: 999});
    grants.settle(reservation, 3_500);
    expect(usageOf()).toMatchObject({used: 3_500, reserved: 0});
    grants.recordUse(reservation, 4_000);
    expect(usageOf()).toMatchObject({used: 3_500, reserved: 0});
  });
});

describe('commitments of a router', () => {
  // Guards against double spending: a leader may have recorded either of two
  // commitments that it has not replied to (issue 37).
  it('all limit it until one of them is confirmed', () => {
    const grants = createGrants();
    const first = commit(grants, 1_000);
    grants.confirm(first);
    expect(spendable(grants, 1_000)).toBe(spendableAtOnce);
    commit(grants, 1_001);
    grants.reserve(workspace, spendableAtOnce, 1_001);
    // Another report was replied to meanwhile.
    grants.confirm(undefined);
    const second = commit(grants, 1_002);
    // Nothing but what the pace adds in 2 ms.
    expect(spendable(grants, 1_002)).toBeLessThan(2 * pace);
    grants.confirm(second);
    expect(spendable(grants, 1_002)).toBe(spendableAtOnce * 0.97);
  });

  it('are not replaced by an older one whose reply comes late', () => {
    const grants = createGrants();
    const first = commit(grants, 1_000);
    grants.confirm(undefined);
    grants.reserve(workspace, 0, 1_001);
    const second = commit(grants, 1_001);
    grants.confirm(second);
    const before = spendable(grants, 1_001);
    grants.confirm(first);
    expect(spendable(grants, 1_001)).toBe(before);
  });

  // Guards against refusals at a router that waits long for each confirmation
  // (issue 37).
  it('cover the demand until they are usually confirmed', () => {
    const [slow = 0, fast = 0] = [1_500, 0].map(ahead => {
      const grants = createGrants();
      for (let now = 1_000; now < 5_000; now += 100) {
        grants.reserve(workspace, 1_000, now);
      }
      grants.confirm(commit(grants, 5_000, ahead));
      return spendable(grants, 5_000);
    });
    // The demand of 1.5 s, which is known to be 10,000 tokens a second at most.
    expect(slow - fast).toBeGreaterThan(5_000);
    expect(slow - fast).toBeLessThan(15_000);
  });
});
