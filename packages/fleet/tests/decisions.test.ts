import {describe, expect, it} from 'vitest';

import {
  chooseServer,
  type GrantDemand,
  grantTarget,
  type ServerCandidate,
  WindowedRetryBudget,
} from '../src/index.js';

function createCandidate(
  fields: Partial<ServerCandidate> = {},
): ServerCandidate {
  return {
    id: 's',
    openRequests: 0,
    unreadTokens: 0,
    slots: 8,
    isSuspect: false,
    hasCachedPrefix: false,
    isDue: false,
    ...fields,
  };
}

/** Pattern: hot key, as many prompts share one prefix. */
describe('choosing a server for a shared prefix', () => {
  const servers = ['a', 'b', 'c', 'd'].map(id => createCandidate({id}));
  const demand = {
    affinityKey: 'part-7',
    prefixTokens: 5_000,
    promptTokens: 6_000,
    failureDomain: 'z',
  };

  it('is the same at routers that do not communicate', () => {
    const choice = chooseServer(servers, demand, () => 0.1);
    const reversed = chooseServer([...servers].reverse(), demand, () => 0.9);
    expect(reversed?.id).toBe(choice?.id);
  });

  it('reads the prefix elsewhere once the queue costs more', () => {
    const first = chooseServer(servers, demand, () => 0)?.id;
    const busy = servers.map(server =>
      server.id === first ? {...server, unreadTokens: 20_000} : server,
    );
    expect(chooseServer(busy, demand, () => 0)?.id).not.toBe(first);
  });

  it('moves only the prefixes of a removed server', () => {
    const keys = Array.from({length: 200}, (_, index) => `part-${index}`);
    const choose = (pool: ServerCandidate[], affinityKey: string) =>
      // No servers reserved for long prompts, as their set changes with the pool.
      chooseServer(pool, {...demand, affinityKey}, () => 0, {longShare: 0})?.id;
    const rest = servers.filter(({id}) => id !== 'a');
    const moved = keys.filter(
      key => choose(servers, key) !== choose(rest, key),
    );
    expect(moved.every(key => choose(servers, key) === 'a')).toBe(true);
    expect(moved.length).toBeGreaterThan(20);
    expect(moved.length).toBeLessThan(90);
  });

  it('uses a suspect server only if there is no other', () => {
    const first = chooseServer(servers, demand, () => 0)?.id;
    const suspected = servers.map(server => ({
      ...server,
      isSuspect: server.id === first,
    }));
    expect(chooseServer(suspected, demand, () => 0)?.id).not.toBe(first);
    const all = servers.map(server => ({...server, isSuspect: true}));
    expect(chooseServer(all, demand, () => 0)).toBeDefined();
  });
});

describe('choosing a server of a plain service', () => {
  it('prefers few open requests, then its own failure domain', () => {
    const pool = [
      createCandidate({id: 'far', failureDomain: 'y'}),
      createCandidate({id: 'near', failureDomain: 'z'}),
      createCandidate({id: 'busy', failureDomain: 'z', openRequests: 6}),
    ];
    const demand = {prefixTokens: 0, promptTokens: 0, failureDomain: 'z'};
    expect(chooseServer(pool, demand, () => 0.5)?.id).toBe('near');
  });
});

/** Pattern: a few very long prompts delay the short ones queued behind them. */
describe('choosing a server for long prompts', () => {
  const servers = Array.from({length: 12}, (_, index) =>
    createCandidate({id: `s-${index}`}),
  );
  const choose = (part: string, promptTokens: number) =>
    chooseServer(
      servers,
      {
        affinityKey: part,
        prefixTokens: 5_000,
        promptTokens,
        failureDomain: 'z',
      },
      () => 0,
    )?.id;
  const parts = Array.from({length: 100}, (_, index) => `part-${index}`);

  it('separates them from other requests', () => {
    const long = new Set(parts.map(part => choose(part, 40_000)));
    const others = new Set(parts.map(part => choose(part, 2_000)));
    expect(long.size).toBe(3);
    expect([...long].filter(id => others.has(id))).toEqual([]);
  });
});

/** Pattern: all routers are partitioned at once, after their demand is known. */
describe('grantTarget', () => {
  const demand = {
    rate: 1_000,
    totalRate: 6_000,
    recentTotalRate: 6_000,
    concentration: 0,
    isHolder: true,
    holders: 5,
    ungranted: 1_000_000,
    held: 0,
  };
  const others = {...demand, isHolder: false};

  /** Targets of five holders and one other router. */
  const totalTarget = (demand: GrantDemand) =>
    grantTarget(demand) * 5 + grantTarget({...demand, isHolder: false});

  it('covers the longest expected partition, over all routers', () => {
    expect(totalTarget(demand)).toBeGreaterThan(9 * demand.totalRate);
  });

  it('leaves most of a large total ungranted', () => {
    expect(totalTarget(demand)).toBeLessThan(12 * demand.totalRate);
  });

  it('never grants more than the unspent tokens, over all routers', () => {
    const scarce = {...demand, ungranted: 20_000};
    expect(totalTarget(scarce)).toBeLessThanOrEqual(20_000);
  });

  it('follows a workspace that surges at all routers', () => {
    const surge = {...demand, recentTotalRate: 18_000};
    expect(totalTarget(surge)).toBeGreaterThan(2 * totalTarget(demand));
  });

  it('gives half of the rest to the only router that requests enter at', () => {
    const only = {...others, rate: others.totalRate, concentration: 1};
    const target = grantTarget(only);
    expect(target).toBeGreaterThan(5 * only.rate);
    expect(target).toBeLessThan(7 * only.rate);
  });

  it('gives a router that is no holder its own demand only', () => {
    const target = grantTarget(others);
    expect(target).toBeGreaterThan(0.5 * others.rate);
    expect(target).toBeLessThan(2 * others.rate);
  });
});

/** Pattern: routers that may be partitioned from each other retry requests. */
describe('WindowedRetryBudget', () => {
  it('keeps the sum of all routers within the budget in every window', () => {
    const routers = Array.from(
      {length: 6},
      () => new WindowedRetryBudget({ratio: 0.2, slack: 52}),
    );
    let retries = 0;
    let requests = 0;
    for (let now = 0; now < 10_000; now += 50) {
      for (const router of routers) {
        router.recordRequest('s', now);
        requests++;
        while (router.takeRetry('s', 6, now)) retries++;
      }
    }
    expect(retries).toBeGreaterThan(0);
    expect(retries).toBeLessThanOrEqual(0.2 * requests + 52);
  });

  it('ignores retries older than the window', () => {
    const budget = new WindowedRetryBudget({ratio: 0, slack: 4});
    while (budget.takeRetry('s', 1, 0));
    expect(budget.takeRetry('s', 1, 9_000)).toBe(false);
    expect(budget.takeRetry('s', 1, 11_000)).toBe(true);
  });
});
