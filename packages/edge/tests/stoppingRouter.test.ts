/**
 * @fileoverview A router is stopped while the control processes don't lead.
 */
import {
  MetricsRegistry,
  PeerCallServer,
  silentLogger,
} from '@dogwoodtrestle/runtime';
import {
  type UsageReply,
  type UsageReport,
  type WatchUpdate,
} from '@dogwoodtrestle/schema';
import {freeAddress} from '@dogwoodtrestle/testkit';
import {afterEach, describe, expect, it} from 'vitest';

import {EdgeNode} from '../src/edgeNode.js';

const leaderAddress = await freeAddress();
const routerAddress = await freeAddress();
const callerAddress = await freeAddress();

/** Tokens that the router holds. */
const granted = 10_000;

const closers: Array<() => Promise<unknown>> = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map(close => close()));
});

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

interface LeaderFixture {
  /** Whether the process replies to calls. */
  isReachable: boolean;
  reports: UsageReport[];
}

/** Resolves once the router has tokens that its next report names. */
async function firstReport({reports}: LeaderFixture): Promise<void> {
  while (!reports.some(({usages}) => usages.length > 0)) await pause(10);
}

async function startLeader(): Promise<LeaderFixture> {
  const leader: LeaderFixture = {isReachable: true, reports: []};
  const assertReachable = () => {
    if (!leader.isReachable) throw new Error('no process leads');
  };
  const watch = async (): Promise<WatchUpdate> => {
    await pause(50);
    assertReachable();
    return {
      kind: 'update',
      replicas: [leaderAddress],
      routers: 1,
      peersRevision: 1,
      peers: [routerAddress],
    };
  };
  const usage = async (report: UsageReport): Promise<UsageReply> => {
    assertReachable();
    leader.reports.push(report);
    const {reportedAt} = report;
    const leaderTime = {clock: 'leader', steady: 0, wall: 0};
    const offers = [
      {workspace: 'desk', granted, target: granted, remaining: 0},
    ];
    return {kind: 'grants', reportedAt, isOver: false, leaderTime, offers};
  };
  const [host = '', port = ''] = leaderAddress.split(':');
  const server = new PeerCallServer({
    host,
    port: Number(port),
    handlers: {watch, usage},
    logger: silentLogger,
  });
  await server.listen();
  closers.push(() => server.close());
  return leader;
}

function startRouter(drainMilliseconds: number): Promise<EdgeNode> {
  return EdgeNode.start({
    instance: 'edge-1',
    failureDomain: 'domain-1',
    callerAddress,
    peerAddress: routerAddress,
    seeds: () => [leaderAddress],
    codec: {
      decodeRequest: () => undefined,
      encodeRequest: () => [],
      decodeResponse: () => {
        throw new Error('no response is decoded here');
      },
    },
    metrics: new MetricsRegistry(),
    reportIntervalMilliseconds: 50,
    lingerMilliseconds: 100,
    drainMilliseconds,
  });
}

describe('a router that stops', () => {
  // Guards against the tokens of a router that is stopped during an election
  // being forfeited, as its last report is lost (issue 40).
  it('waits until a leader has recorded what it returns', async () => {
    const leader = await startLeader();
    const router = await startRouter(5_000);
    await firstReport(leader);
    leader.isReachable = false;
    await pause(200);
    const stopped = router.stop();
    await pause(900);
    leader.isReachable = true;
    await stopped;
    expect(leader.reports.at(-1)).toMatchObject({
      isStopping: true,
      usages: [{workspace: 'desk', returned: granted}],
    });
  });

  it('waits no longer than requests may take to end', async () => {
    const leader = await startLeader();
    const router = await startRouter(600);
    await firstReport(leader);
    leader.isReachable = false;
    const startedAt = performance.now();
    await router.stop();
    // The last report may take its time limit.
    expect(performance.now() - startedAt).toBeLessThan(600 + 2 * 700);
  });
});
