/**
 * @fileoverview A router's process is paused, another process starts as the same
 * instance, and the first one resumes.
 */
import {HeldGrants} from '@dogwoodtrestle/fleet';
import {
  MetricsRegistry,
  type PeerCallClient,
  silentLogger,
} from '@dogwoodtrestle/runtime';
import {type UsageReport} from '@dogwoodtrestle/schema';
import {describe, expect, it} from 'vitest';

import {defaultEdgeOptions, type EdgeOptions} from '../src/edgeOptions.js';
import {ReplyCounter} from '../src/replyCounter.js';
import {RouterIdentity} from '../src/routerIdentity.js';
import {UsageReporter} from '../src/usageReporter.js';
import {MemoryFleet, workspace} from './support/memoryFleet.js';
import {createVirtualClock} from './support/virtualClock.js';

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

const firstIncarnation = 'r-1/0';

interface ReportingRouter {
  grants: HeldGrants;
  identity: RouterIdentity;
  /** Reports that the leader got. */
  reports: UsageReport[];
  /** Incarnations that the leader has recorded as ended, or doesn't admit. */
  over: Set<string>;
  report: () => Promise<void>;
}

/** A router whose leader grants 10,000 tokens to each incarnation. */
function createReportingRouter(): ReportingRouter {
  const clock = createVirtualClock();
  const reports: UsageReport[] = [];
  const over = new Set<string>();
  const call = async (...[, , message]: unknown[]) => {
    const report = message as UsageReport;
    reports.push(report);
    const {router, reportedAt} = report;
    if (over.has(router)) {
      return {kind: 'grants', reportedAt, isOver: true, offers: []};
    }
    const offer = {granted: 10_000, target: 10_000, remaining: 90_000};
    const offers = [{workspace, ...offer}];
    return {kind: 'grants', reportedAt, isOver: false, offers};
  };
  const options: EdgeOptions = {
    ...defaultEdgeOptions,
    instance: 'r-1',
    failureDomain: 'domain-1',
    callerAddress: '',
    peerAddress: 'r-1:1',
    seeds: () => [],
    codec: {
      decodeRequest: () => undefined,
      encodeRequest: () => [],
      decodeResponse: () => {
        throw new Error('no response is decoded here');
      },
    },
    logger: silentLogger,
    metrics: new MetricsRegistry(),
    clock,
  };
  let incarnations = 0;
  const identity = new RouterIdentity({
    clock,
    instance: 'r-1',
    steadyClock: 'boot-1',
    generateId: () => `r-1/${incarnations++}`,
  });
  const grants = new HeldGrants();
  const reporter = new UsageReporter(
    options,
    {call} as unknown as PeerCallClient,
    identity,
    grants,
    new ReplyCounter(options),
    {
      leader: () => 'c-0:1',
      onTick: () => undefined,
      onGrants: () => undefined,
      onHint: () => undefined,
    },
  );
  const report = async () => {
    const reported = reporter.report();
    await clock.runUntil(clock.now() + 1_000);
    await reported;
  };
  return {grants, identity, reports, over, report};
}

async function createFundedRouter(): Promise<ReportingRouter> {
  const router = createReportingRouter();
  router.grants.want(workspace, 10_000);
  for (let round = 0; round < 3; round++) await router.report();
  router.grants.want(workspace, -10_000);
  return router;
}

// Guards against a router that stays out of service for good after it was taken
// for ended, though its process runs (issue 46).
describe('a router that was recorded as ended while it ran', () => {
  it('goes on as another incarnation', async () => {
    const {grants, identity, over, reports, report} =
      await createFundedRouter();
    over.add(firstIncarnation);
    await report();
    expect(grants.isOver).toBe(true);
    expect(grants.reserve(workspace, 1, 0)).toBeUndefined();
    grants.want(workspace, 100);
    for (let round = 0; round < 3; round++) await report();
    expect(grants.isOver).toBe(false);
    expect(identity.routerId).toBe('r-1/1');
    expect(reports.at(-1)).toMatchObject({follows: firstIncarnation});
    expect(grants.available(workspace)).toBe(10_000);
  });

  it('spends nothing while another process runs as its instance', async () => {
    const {grants, over, report} = await createFundedRouter();
    over.add(firstIncarnation).add('r-1/1');
    grants.want(workspace, 100);
    for (let round = 0; round < 5; round++) await report();
    expect(grants.isOver).toBe(true);
    expect(grants.canReserve(workspace, 1, 0)).toBe(false);
    over.delete('r-1/1');
    for (let round = 0; round < 3; round++) await report();
    expect(grants.isOver).toBe(false);
  });

  it('reports what its open requests use as the ended one', async () => {
    const {grants, over, reports, report} = await createFundedRouter();
    const reservation = grants.reserve(workspace, 500, 6_000);
    if (reservation === undefined) throw new Error('the grant is too small');
    over.add(firstIncarnation);
    for (let round = 0; round < 3; round++) await report();
    grants.settle(reservation, 400);
    expect(grants.available(workspace)).toBe(10_000);
    await report();
    const last = reports.filter(({router}) => router === firstIncarnation);
    expect(last.at(-1)?.usages).toMatchObject([{workspace, used: 400}]);
    const count = last.length;
    await report();
    expect(
      reports.filter(({router}) => router === firstIncarnation),
    ).toHaveLength(count);
  });
});
