/**
 * @fileoverview Routers that spend tokens of one prepaid total, and the state to
 * which they report.
 */
import {expect} from 'vitest';

import {
  emptyPrepaidState,
  endOfRouter,
  heldOf,
  HeldGrants,
  type PrepaidState,
  recordUsage,
  type Reservation,
  ungranted,
  unspentOf,
} from '../../src/index.js';

export const workspace = 'desk';
export const prepaid = 60_000;

/** The leader's name, and the milliseconds by which wall clocks are set back. */
export interface Clocks {
  instances: Record<string, number>;
  leader: number;
  leaderName: string;
}

export const correctClocks: Clocks = {
  instances: {},
  leader: 0,
  leaderName: 'leader-1',
};

export interface RouterFixture {
  name: string;
  instance: string;
  /** Id of the monotonic clock, new after each power loss. */
  boot: string;
  startedAt: number;
  wallStartedAt: number;
  grants: HeldGrants;
  open: Reservation[];
  /** Tokens that requests used, reported or not. */
  used: number;
}

export function createRouter(
  instance: string,
  incarnation: number,
  now: number,
  {boot = 'boot-1', clocks = correctClocks} = {},
) {
  const router: RouterFixture = {
    name: `${instance}/${incarnation}`,
    instance,
    boot,
    // Only readings of the same clock are comparable.
    startedAt: Math.floor(now),
    wallStartedAt: Math.floor(now) - (clocks.instances[instance] ?? 0),
    grants: new HeldGrants(),
    open: [],
    used: 0,
  };
  return router;
}

export function readLeader({leader, leaderName}: Clocks, now: number) {
  const steady = Math.floor(now);
  return {clock: leaderName, steady, wall: steady - leader};
}

/** Records that a router's process has ended; returns the tokens returned. */
export function recordEnd(
  state: PrepaidState,
  router: RouterFixture,
  now: number,
  clocks = correctClocks,
): number {
  const before = ungranted(state.accounts[workspace], prepaid);
  const command = endOfRouter(state, router.name, readLeader(clocks, now));
  if (command !== undefined) recordUsage(state, command, () => prepaid, now);
  expectBalanced(state);
  return ungranted(state.accounts[workspace], prepaid) - before;
}

/** A report on its way to the leader, or its reply on the way back. */
export interface MessageInTransit {
  router: RouterFixture;
  deliver: (now: number) => MessageInTransit | undefined;
}

/** Sends a report as a router does; delivered once, its reply is in transit. */
export function sendReport(
  state: PrepaidState,
  router: RouterFixture,
  now: number,
  {target = 20_000, clocks = correctClocks, aheadMilliseconds = 0} = {},
): MessageInTransit {
  const {usages, reportedAt} = router.grants.report(
    true,
    now,
    aheadMilliseconds,
  );
  const {instance, boot, startedAt, wallStartedAt} = router;
  const incarnation = {instance, clock: boot, startedAt, wallStartedAt};
  const leaderTime = readLeader(clocks, now);
  const reportedWallAt = Math.floor(now) - (clocks.instances[instance] ?? 0);
  const entries = usages.map(usage => ({
    workspace: usage.workspace,
    used: usage.used,
    lent: usage.lent,
    borrowed: usage.borrowed,
    returned: usage.returned,
    committed: usage.used + usage.lent + usage.reserved + usage.wanted,
    cover: usage.cover,
    paced: usage.paced,
    grantUpTo: Math.max(
      0,
      usage.used +
        usage.lent +
        usage.returned +
        usage.reserved +
        usage.wanted +
        target -
        usage.borrowed,
    ),
  }));
  const record = (at: number): MessageInTransit => {
    const {outcomes, breaches} = recordUsage(
      state,
      {
        kind: 'recordUsage',
        router: router.name,
        life: incarnation,
        reportedAt,
        reportedWallAt,
        leaderTime,
        recordedAt: readLeader(clocks, at),
        entries,
      },
      () => prepaid,
      at,
    );
    expect(breaches).toEqual([]);
    expectBalanced(state);
    const accept = () => {
      router.grants.confirm(reportedAt);
      for (const {granted} of outcomes) {
        const remaining = ungranted(state.accounts[workspace], prepaid);
        router.grants.accept({workspace, granted, target, remaining}, now);
      }
      return undefined;
    };
    return {router, deliver: accept};
  };
  return {router, deliver: record};
}

/** Sends a report; the request or the reply may be lost. */
export function report(
  state: PrepaidState,
  router: RouterFixture,
  now: number,
  delivery: 'whole' | 'replyLost' | 'requestLost',
  target = 20_000,
  clocks = correctClocks,
): void {
  const request = sendReport(state, router, now, {target, clocks});
  if (delivery === 'requestLost') return;
  const reply = request.deliver(now);
  if (delivery === 'whole') reply?.deliver(now);
}

/** Checks that the sums of an account match the totals of its incarnations. */
export function expectBalanced({
  accounts,
  routers: records,
}: PrepaidState): void {
  for (const account of Object.values(accounts)) {
    let committed = 0;
    let live = 0;
    for (const [router, totals] of Object.entries(account.routers)) {
      committed += totals.granted - totals.returned;
      expect(unspentOf(totals)).toBeGreaterThanOrEqual(0);
      if (records[router]?.isOver === false) live += unspentOf(totals);
    }
    expect(account.committed).toBe(committed);
    expect(account.committed).toBeLessThanOrEqual(prepaid);
    expect(heldOf(account)).toBe(live);
  }
}

/** Tokens returned to the total after a router lost power and restarted. */
export function returnedAfterPowerLoss({
  downMilliseconds = 1_000,
  /** Time for which the new incarnation searches for a leader. */
  searchMilliseconds = 0,
  boot = 'boot-2',
  /** Error added to the monotonic clock after the restart. */
  jumpMilliseconds = 0,
  fault = {},
} = {}): number {
  const state = emptyPrepaidState();
  const router = createRouter('a', 0, 50_000);
  router.grants.want(workspace, 1_000);
  report(state, router, 50_000, 'whole', 40_000);
  router.grants.want(workspace, -1_000);
  report(state, router, 50_400, 'whole', 40_000);
  const before = ungranted(state.accounts[workspace], prepaid);
  const clocks = {...correctClocks, leaderName: 'leader-2', ...fault};
  const startedAt = 50_400 + downMilliseconds;
  const next = createRouter('a', 1, startedAt, {boot, clocks});
  next.startedAt += jumpMilliseconds;
  report(state, next, startedAt + searchMilliseconds, 'whole', 0, clocks);
  return ungranted(state.accounts[workspace], prepaid) - before;
}
