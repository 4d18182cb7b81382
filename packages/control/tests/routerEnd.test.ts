/**
 * @fileoverview Tests that the tokens of a router come back when its process has
 * ended, and only then.
 */
import {FleetState, HeldGrants, ungranted} from '@dogwoodtrestle/fleet';
import {
  MetricsRegistry,
  PeerCallClient,
  PeerCallServer,
  type PeerCallServerOptions,
  silentLogger,
  systemClock,
} from '@dogwoodtrestle/runtime';
import {type RouterLife, type UsageGrants} from '@dogwoodtrestle/schema';
import {freeAddress} from '@dogwoodtrestle/testkit';
import {afterEach, describe, expect, it} from 'vitest';

import {GrantService} from '../src/grantService.js';
import {type ReplicaGroup} from '../src/replicaGroup.js';

const workspace = 'desk';
const prepaid = 100_000;
const routerAddress = await freeAddress();
const leaderAddress = await freeAddress();

/** Time after which a router that doesn't report is checked. */
const silentMilliseconds = 1_600;

const closers: Array<() => Promise<unknown>> = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map(close => close()));
});

/** A group of one replica that applies commands at once. */
function createGroup(state: FleetState): ReplicaGroup {
  let index = 0;
  const propose = async (commands: unknown[]) =>
    state.apply({
      index: ++index,
      term: 1,
      timestamp: Math.floor(systemClock.now()),
      kind: 'commands',
      commands,
    });
  const group = {isLeader: true, replica: {propose}};
  return group as unknown as ReplicaGroup;
}

function createState(): FleetState {
  const state = new FleetState();
  state.apply({
    index: 0,
    term: 1,
    timestamp: 0,
    kind: 'commands',
    commands: [
      {
        kind: 'putConfiguration',
        source: '',
        configuration: {
          version: 1,
          routes: [],
          services: [],
          workspaces: [
            {name: workspace, keys: [], priority: 0, prepaidTokens: prepaid},
          ],
        },
      },
    ],
  });
  return state;
}

interface LeaderFixture {
  service: GrantService;
  /** Tokens that no router holds. */
  ungranted: () => number;
  /** Reports twice, so that the router holds a grant. */
  report: (isProxied?: boolean) => Promise<void>;
}

function createLeader(): LeaderFixture {
  const state = createState();
  const options = {
    clock: systemClock,
    logger: silentLogger,
    metrics: new MetricsRegistry(),
    routerLostAfterMilliseconds: 5_000,
  };
  const group = createGroup(state);
  const service = new GrantService(
    options,
    group,
    state,
    () => [routerAddress],
    {
      noteRouter: () => undefined,
      view: () => undefined,
      leaderHint: () => ({kind: 'notLeader', replicas: []}),
    },
  );
  const grants = new HeldGrants();
  const startedAt = Math.floor(systemClock.now());
  const wallStartedAt = Math.floor(systemClock.wallNow());
  const life: RouterLife = {
    instance: 'edge-1',
    clock: 'boot-1',
    startedAt,
    wallStartedAt,
  };
  let leaderTime: {clock: string; steady: number; wall: number} | undefined;
  const report = async (isProxied = false) => {
    for (let round = 0; round < 3; round++) {
      grants.reserve(workspace, 50_000, systemClock.now());
      grants.want(workspace, 1);
      const {usages, reportedAt} = grants.report(true, systemClock.now());
      grants.want(workspace, -1);
      const reply = await service.report({
        router: 'life-1',
        address: routerAddress,
        ...(isProxied && {isProxied}),
        life,
        isStopping: false,
        reportedAt,
        reportedWallAt: Math.floor(systemClock.wallNow()),
        leaderTime,
        usages,
      });
      if (reply.kind !== 'grants') throw new Error('the process must lead');
      leaderTime = reply.leaderTime;
      grants.confirm(reply.reportedAt);
      const now = systemClock.now();
      for (const offer of reply.offers) grants.accept(offer, now);
    }
  };
  return {
    service,
    ungranted: () => ungranted(state.prepaid.accounts[workspace], prepaid),
    report,
  };
}

async function listen(
  address: string,
  options: Partial<PeerCallServerOptions> = {},
): Promise<PeerCallServer> {
  const [host = '', port = ''] = address.split(':');
  const server = new PeerCallServer({
    host,
    port: Number(port),
    handlers: {},
    logger: silentLogger,
    ...options,
  });
  await server.listen();
  closers.push(() => server.close());
  return server;
}

const presence = {router: 'life-1', address: routerAddress};

// Guards against all tokens of a router being forfeited as its process is down
// for some seconds (issue 40).
describe('the tokens of a router', () => {
  it('come back when its process ends', async () => {
    const {service, ungranted, report} = createLeader();
    const router = await listen(routerAddress);
    service.openConnection(presence);
    await report();
    const held = prepaid - ungranted();
    expect(held).toBeGreaterThan(20_000);
    await router.close();
    await service.endConnection(presence, 'closed');
    // A tenth of a grant, or 9,000 tokens, may be spent between two reports.
    expect(ungranted()).toBeGreaterThan(prepaid - 9_000 - held * 0.1);
  });

  it('come back when its host refuses connections only later', async () => {
    const {service, ungranted, report} = createLeader();
    const router = await listen(routerAddress);
    service.openConnection(presence);
    await report();
    const held = prepaid - ungranted();
    await service.endConnection(presence, 'closed');
    expect(ungranted()).toBe(prepaid - held);
    await router.close();
    await new Promise(resolve => setTimeout(resolve, silentMilliseconds));
    await service.checkSilentRouters();
    expect(ungranted()).toBeGreaterThan(prepaid - 9_000 - held * 0.1);
  });

  it('stay with a router behind a proxy', async () => {
    const {service, ungranted, report} = createLeader();
    service.openConnection(presence);
    await report(true);
    const before = ungranted();
    await service.endConnection(presence, 'closed');
    expect(ungranted()).toBe(before);
  });

  it('stay with a router that listens again at once', async () => {
    const {service, ungranted, report} = createLeader();
    service.openConnection(presence);
    await report();
    const before = ungranted();
    const check = service.endConnection(presence, 'closed');
    await new Promise(resolve => setTimeout(resolve, 20));
    await listen(routerAddress);
    await check;
    expect(ungranted()).toBe(before);
  });

  // Guards against double spending: a firewall that cuts a running router off
  // refuses connections in its place, and its tokens go to others (issue 46).
  it('stay with a router whose connections are refused and reset', async () => {
    const {service, ungranted, report} = createLeader();
    await report();
    const before = ungranted();
    await new Promise(resolve => setTimeout(resolve, silentMilliseconds));
    await service.checkSilentRouters();
    expect(ungranted()).toBe(before);
    service.openConnection(presence);
    await service.endConnection(presence, 'broken');
    await service.checkSilentRouters();
    expect(ungranted()).toBe(before);
  });

  it('stay with a router that has another connection open', async () => {
    const {service, ungranted, report} = createLeader();
    service.openConnection(presence);
    service.openConnection(presence);
    await report();
    const before = ungranted();
    await service.endConnection(presence, 'closed');
    expect(ungranted()).toBe(before);
  });
});

/** Sends a report of a process that has used a number of tokens. */
async function sendReport(
  service: GrantService,
  router: string,
  {used = 0, follows}: {used?: number; follows?: string} = {},
): Promise<UsageGrants> {
  const now = Math.floor(systemClock.now());
  const amounts = {lent: 0, borrowed: 0, returned: 0, reserved: 0};
  const demand = {wanted: 100, cover: 0, rate: 0, recentRate: 0};
  const reply = await service.report({
    router,
    address: routerAddress,
    life: {instance: 'edge-1', clock: 'boot-1', startedAt: now},
    ...(follows !== undefined && {follows}),
    isStopping: false,
    usages: [{workspace, used, ...amounts, ...demand}],
  });
  if (reply.kind !== 'grants') throw new Error('the process must lead');
  return reply;
}

/** Has a router recorded as ended, as if its process had ended. */
async function endRouter({service, report}: LeaderFixture): Promise<void> {
  service.openConnection(presence);
  await report();
  await service.endConnection(presence, 'closed');
}

// Guards against a router that stays out of service for good after it was taken
// for ended, and against its tokens being spent twice (issue 46).
describe('a router that was recorded as ended while it ran', () => {
  it('is admitted as another incarnation', async () => {
    const leader = createLeader();
    await endRouter(leader);
    const {service} = leader;
    expect((await sendReport(service, 'life-1')).isOver).toBe(true);
    const reply = await sendReport(service, 'life-2', {follows: 'life-1'});
    expect(reply.isOver).toBe(false);
    expect(reply.offers[0]?.granted).toBeGreaterThan(0);
  });

  it('is not admitted while another process runs as its instance', async () => {
    const {service, report, ungranted} = createLeader();
    await report();
    await sendReport(service, 'successor');
    const before = ungranted();
    const reply = await sendReport(service, 'life-2', {follows: 'life-1'});
    expect(reply).toMatchObject({isOver: true, offers: []});
    expect(ungranted()).toBe(before);
    expect((await sendReport(service, 'successor')).isOver).toBe(false);
  });

  it('has what it spent meanwhile counted as spent', async () => {
    const leader = createLeader();
    await endRouter(leader);
    const {service, ungranted} = leader;
    const before = ungranted();
    const kept = prepaid - before;
    for (let round = 0; round < 2; round++) {
      await sendReport(service, 'life-1', {used: kept + 2_000});
      expect(ungranted()).toBe(before - 2_000);
    }
  });
});

describe('a call', () => {
  it('is abandoned when its caller goes away', async () => {
    const abandoned: unknown[] = [];
    await listen(leaderAddress, {
      handlers: {
        watch: () => new Promise(resolve => setTimeout(resolve, 500, {})),
      },
      onAbandoned: (method, message, end) =>
        abandoned.push({method, message, end}),
    });
    const client = new PeerCallClient({});
    const end = new AbortController();
    const call = client.call(
      leaderAddress,
      'watch',
      {address: 'a'},
      {
        timeoutMilliseconds: 400,
        signal: end.signal,
      },
    );
    await new Promise(resolve => setTimeout(resolve, 50));
    end.abort();
    await expect(call).rejects.toThrow();
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(abandoned).toEqual([
      {method: 'watch', message: {address: 'a'}, end: 'closed'},
    ]);
    await client.close();
  });
});
