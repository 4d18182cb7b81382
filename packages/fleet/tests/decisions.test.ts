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
    ...fields,
  };
}

/** Pattern: many prompts share one part (a hot key). */
describe('choosing a server for a shared part', () => {
  const servers = ['a', 'b', 'c', 'd'].map(id => createCandidate({id}));
  const demand = {
    affinityKey: 'part-7',
    prefixTokens: 5_000,
    promptTokens: 6_000,
    failureDomain: 'z',
  };

  it('agrees between routers that know nothing of each other', () => {
    const choice = chooseServer(servers, demand, () => 0.1);
    const reversed = chooseServer([...servers].reverse(), demand, () => 0.9);
    expect(reversed?.id).toBe(choice?.id);
  });

  it('reads the part elsewhere once the queue costs more', () => {
    const first = chooseServer(servers, demand, () => 0)?.id;
    const busy = servers.map(server =>
      server.id === first ? {...server, unreadTokens: 20_000} : server,
    );
    expect(chooseServer(busy, demand, () => 0)?.id).not.toBe(first);
  });

  it('moves only the parts of a server that is gone', () => {
    const keys = Array.from({length: 200}, (_, index) => `part-${index}`);
    const choose = (pool: ServerCandidate[], affinityKey: string) =>
      // Without servers for long prompts, whose set changes with the pool.
      chooseServer(pool, {...demand, affinityKey}, () => 0, {longShare: 0})?.id;
    const rest = servers.filter(({id}) => id !== 'a');
    const moved = keys.filter(
      key => choose(servers, key) !== choose(rest, key),
    );
    expect(moved.every(key => choose(servers, key) === 'a')).toBe(true);
    expect(moved.length).toBeGreaterThan(20);
    expect(moved.length).toBeLessThan(90);
  });

  it('takes a suspect server only where there is no other', () => {
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

/** Pattern: a few very long prompts hold up the short ones behind them. */
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

  it('keeps them apart from the others', () => {
    const long = new Set(parts.map(part => choose(part, 40_000)));
    const others = new Set(parts.map(part => choose(part, 2_000)));
    expect(long.size).toBe(3);
    expect([...long].filter(id => others.has(id))).toEqual([]);
  });
});

/** Pattern: all routers are cut off at once, after their demand is known. */
describe('grantTarget', () => {
  const demand = {
    rate: 1_000,
    totalRate: 6_000,
    recentTotalRate: 6_000,
    isHolder: true,
    holders: 5,
    ungranted: 1_000_000,
    held: 0,
  };
  const others = {...demand, isHolder: false};

  /** Targets of five holders and one other router. */
  const together = (demand: GrantDemand) =>
    grantTarget(demand) * 5 + grantTarget({...demand, isHolder: false});

  it('covers the longest partition of the users, over all routers', () => {
    expect(together(demand)).toBeGreaterThan(9 * demand.totalRate);
  });

  it('leaves most of a large total ungranted', () => {
    expect(together(demand)).toBeLessThan(12 * demand.totalRate);
  });

  it('never hands out more than there is, over all routers', () => {
    const scarce = {...demand, ungranted: 20_000};
    expect(together(scarce)).toBeLessThanOrEqual(20_000);
  });

  it('follows a workspace that surges at all routers', () => {
    const surge = {...demand, recentTotalRate: 18_000};
    expect(together(surge)).toBeGreaterThan(2 * together(demand));
  });

  it('gives a router that holds for nobody its own demand alone', () => {
    const target = grantTarget(others);
    expect(target).toBeGreaterThan(0.5 * others.rate);
    expect(target).toBeLessThan(2 * others.rate);
  });
});

/** Pattern: routers that may not see each other repeat requests. */
describe('WindowedRetryBudget', () => {
  it('keeps the sum of all routers within the bound in every window', () => {
    const routers = Array.from(
      {length: 6},
      () => new WindowedRetryBudget({ratio: 0.2, slack: 52}),
    );
    let repeats = 0;
    let requests = 0;
    for (let now = 0; now < 10_000; now += 50) {
      for (const router of routers) {
        router.recordRequest('s', now);
        requests++;
        while (router.takeRetry('s', 6, now)) repeats++;
      }
    }
    expect(repeats).toBeGreaterThan(0);
    expect(repeats).toBeLessThanOrEqual(0.2 * requests + 52);
  });

  it('forgets what is older than the window', () => {
    const budget = new WindowedRetryBudget({ratio: 0, slack: 4});
    while (budget.takeRetry('s', 1, 0));
    expect(budget.takeRetry('s', 1, 9_000)).toBe(false);
    expect(budget.takeRetry('s', 1, 11_000)).toBe(true);
  });
});
