import {afterEach, describe, expect, it} from 'vitest';

import {type FakeDaemon, run, startFakeDaemon} from './fakeDaemon.js';

const keyHash = `sha256:${'0'.repeat(64)}`;
const contract = {
  customer: 'desk',
  budget: {prepaid: 1000, currency: 'CAD'},
  models: [{name: 'm', inputPrice: 1, outputPrice: 1}],
  workspaces: [{name: 'w', keyHash}],
};
const entry = {
  index: 1,
  term: 1,
  timestamp: 5,
  kind: 'commands',
  commands: [
    {
      kind: 'applyContract',
      changeId: 'c1',
      operator: 'ann',
      expectedVersion: 0,
      contract,
    },
  ],
};

let daemon: FakeDaemon;

afterEach(() => daemon.close());

/** Audits a history with one contract against the balance that a daemon reports. */
async function runAudit(overrides: {prepaid?: number; billed?: number}) {
  const budget = {
    customer: 'desk',
    currency: 'CAD',
    contractVersion: 1,
    retired: false,
    toppedUp: 0,
    prepaid: 1000,
    billed: 0,
    reserved: 0,
    granted: 0,
    available: 1000,
    openRequests: 0,
    grants: [],
    workspaces: [{name: 'w', sharePercent: 100, billed: 0, reserved: 0}],
    ...overrides,
  };
  const ok = (body: unknown) => ({status: 200, body});
  daemon = await startFakeDaemon({
    'GET /operator/v1/budgets': ok([budget]),
    'GET /operator/v1/history?after=0&limit=1000': ok([entry]),
    'GET /operator/v1/history?after=1&limit=1000': ok([]),
    'GET /operator/v1/bills?after=0&limit=10000': ok([]),
  });
  return run(['audit', '--url', daemon.url]);
}

describe('audit', () => {
  it('accepts a balance that matches the history', async () => {
    const result = await runAudit({});
    expect(result).toMatchObject({exitCode: 0});
    expect(result.stdout).toContain('no disagreement');
  });

  it('reports the customer and log entry of a mismatch', async () => {
    const result = await runAudit({billed: 5});
    expect(result.exitCode).toBe(1);
    expect(result.stdout).toMatch(/desk: entry 1: .*billed is shown as 5/);
  });

  it('detects a wrong prepaid amount', async () => {
    const result = await runAudit({prepaid: 1500});
    expect(result.exitCode).toBe(1);
    expect(result.stdout).toMatch(/desk: entry 1: .*1500/);
  });
});
