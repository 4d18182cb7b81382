import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  type FakeAnswer,
  type FakeDaemon,
  run,
  startFakeDaemon,
} from './fakeDaemon.js';

const valid = `customer: desk
budget: {prepaid: 1000}
workspaces: [{name: w, keyHash: 'sha256:${'0'.repeat(64)}'}]
`;
const invalid = 'customer: desk\nbudgt: {}\nworkspaces: []\n';

let folder: string;
let daemons: FakeDaemon[];

beforeEach(() => {
  folder = mkdtempSync(path.join(os.tmpdir(), 'cli-'));
  daemons = [];
});

afterEach(async () => {
  rmSync(folder, {recursive: true});
  await Promise.all(daemons.map(each => each.close()));
});

async function daemon(answers: Record<string, FakeAnswer>): Promise<string> {
  const started = await startFakeDaemon(answers);
  daemons.push(started);
  return started.url;
}

function file(text: string): string {
  const name = path.join(folder, 'contract.yaml');
  writeFileSync(name, text);
  return name;
}

/** Status of a daemon's answer by the state of the change. */
const statusOf: Record<string, number> = {pending: 202, rejected: 409};

function change(state: string, more: object = {}): FakeAnswer {
  const body = {
    kind: 'change',
    changeId: 'c1',
    customer: 'desk',
    state,
    version: 2,
    revision: 7,
    ...more,
  };
  return {status: statusOf[state] ?? 200, body};
}

const contractPath = '/operator/v1/contracts/desk';

describe('contract check', () => {
  it('reports every finding with its place', async () => {
    const name = file(invalid);
    const {exitCode, stdout} = await run(['contract', 'check', name]);
    expect(exitCode).toBe(1);
    expect(stdout).toContain(`${name}:2:1: /budgt: unknown field 'budgt'`);
    expect(stdout).toContain("missing field 'budget'");
    expect(stdout).toContain(`${name}:3:1: /workspaces`);
  });
});

const outcomes = [
  {state: 'accepted', exitCode: 0, shows: 'accepted: desk version 2'},
  {
    state: 'pending',
    more: {waitingFor: [{grantId: 'g', holder: 'r2', until: 5}], until: 5},
    exitCode: 4,
    shows: 'waits for r2',
  },
  {
    state: 'rejected',
    more: {
      winner: {changeId: 'x', operator: 'ann', version: 2, differs: ['/a']},
      findings: [{path: '/budget/prepaid', message: 'too low'}],
    },
    exitCode: 1,
    shows: 'ann made version 2',
  },
];

describe('contract apply', () => {
  it.each(outcomes)('tells $state', async each => {
    const url = await daemon({
      [`GET ${contractPath}`]: {status: 200, body: {version: 1}},
      [`PUT ${contractPath}`]: change(each.state, each.more),
    });
    const args = ['contract', 'apply', file(valid), '--url', url];
    const {exitCode, stdout} = await run(args);
    expect(exitCode).toBe(each.exitCode);
    expect(stdout).toContain(each.shows);
    expect(daemons[0]?.requests[1]?.body).toMatchObject({expectedVersion: 1});
  });

  it('places the findings of the daemon in the file', async () => {
    const findings = [{path: '/budget/prepaid', message: 'too low'}];
    const url = await daemon({
      [`PUT ${contractPath}`]: change('rejected', {findings}),
    });
    const {stdout} = await run([
      'contract',
      'apply',
      file(valid),
      '--url',
      url,
    ]);
    expect(stdout).toContain('contract.yaml:2:10: /budget/prepaid: too low');
  });

  it('resends under the same id where the answer is lost', async () => {
    const lost = await daemon({[`PUT ${contractPath}`]: 'drop'});
    const next = await daemon({[`PUT ${contractPath}`]: change('accepted')});
    const urls = ['--url', lost, '--url', next];
    const {exitCode} = await run(['contract', 'apply', file(valid), ...urls]);
    expect(exitCode).toBe(0);
    const [first, second] = daemons.map(each => each.requests.at(-1)?.body);
    expect(second).toEqual(first);
  });

  it('says how to resend where no answer came', async () => {
    const lost = await daemon({[`PUT ${contractPath}`]: 'drop'});
    const args = ['contract', 'apply', file(valid), '--url', lost];
    const {exitCode, stderr} = await run(args);
    expect(exitCode).toBe(3);
    expect(stderr).toMatch(/--change-id \S+ --expect-version 0/);
  });

  it('follows a pending change to its end', async () => {
    const url = await daemon({
      [`PUT ${contractPath}`]: change('pending'),
      'GET /operator/v1/changes/c1': change('accepted'),
    });
    const args = ['contract', 'apply', file(valid), '--wait', '--url', url];
    expect(await run(args)).toMatchObject({
      exitCode: 0,
      stderr: 'pending: waits for grants to end\n',
    });
  });
});

const usageErrors = [
  {args: ['contract', 'apply'], exitCode: 2, shows: 'missing required'},
  {args: ['bugdet', 'show'], exitCode: 2, shows: 'unknown command'},
  {
    args: ['budget', 'top-up', 'desk', '1.2.3'],
    exitCode: 2,
    shows: 'no amount',
  },
  {args: ['bills', '--since', 'soon'], exitCode: 2, shows: 'no time'},
  {
    args: ['instances', '--url', 'http://127.0.0.1:1'],
    exitCode: 3,
    shows: 'no daemon answered',
  },
];

describe('main', () => {
  it.each(usageErrors)('explains $shows', async ({args, exitCode, shows}) => {
    const result = await run(args);
    expect(result.exitCode).toBe(exitCode);
    expect(result.stderr).toContain(shows);
  });

  it('has exit code 5 for what a daemon refuses', async () => {
    const url = await daemon({});
    const {exitCode} = await run(['budget', 'show', 'desk', '--url', url]);
    expect(exitCode).toBe(5);
  });
});
