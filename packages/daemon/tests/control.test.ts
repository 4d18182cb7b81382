import {afterEach, describe, expect, it} from 'vitest';

import {type Control} from '../src/control.js';
import {
  CleanUps,
  contractOf,
  eventually,
  freePort,
  keyHashOf,
  openCommand,
  settingsOf,
  startControl,
  temporaryFolder,
} from './fixtures.js';

const cleanUps = new CleanUps();

afterEach(() => cleanUps.run());

/** Starts three instances with replicas and one without. */
async function startCluster(): Promise<Control[]> {
  const names = ['one', 'two', 'three', 'four'];
  const plans = await Promise.all(
    names.map(async (name, position) => ({
      name,
      port: await freePort(),
      dataFolder: position < 3 ? await temporaryFolder(cleanUps) : undefined,
    })),
  );
  const replicas = plans.slice(0, 3).map(({port}) => `127.0.0.1:${port}`);

  const controls = await Promise.all(
    plans.map(plan => startControl(settingsOf(plan, replicas), cleanUps)),
  );
  await eventually(() =>
    controls.every(({ledgerClient}) => ledgerClient.connected),
  );
  return controls;
}

async function applyContract(control: Control): Promise<void> {
  const result = await control.ledgerClient.submit({
    kind: 'applyContract',
    changeId: 'c1',
    operator: 'ann',
    expectedVersion: 0,
    contract: contractOf(),
  });
  expect(result).toMatchObject({kind: 'change', state: 'accepted', version: 1});
}

describe('the control side of four instances', () => {
  it('founds itself and serves commands, queries and the configuration', async () => {
    const controls = await startCluster();
    const [one, , , four] = controls as [Control, Control, Control, Control];
    await applyContract(four);
    expect(await four.ledgerClient.submit(openCommand())).toMatchObject({
      kind: 'opened',
      attempt: 1,
    });
    const settled = await one.ledgerClient.submit({
      kind: 'settleRequest',
      requestKey: 'exchange/desk/r1',
      attempt: 1,
      cost: 30,
      outcome: 'completed',
      instance: 'one',
      attempts: 1,
      settledAt: 5,
    });
    expect(settled).toMatchObject({kind: 'billed', repeated: false});
    const owner = await four.configuration.byKeyHash(keyHashOf('a'));
    expect(owner?.workspace.name).toBe('desk');
    const budget = await one.ledgerClient.query('budget', {
      customer: 'exchange',
    });
    expect(budget).toMatchObject({billed: 30, reserved: 0, available: 970});
    const bills = await four.ledgerClient.query('bills');
    expect(bills).toMatchObject([{requestKey: 'exchange/desk/r1', cost: 30}]);
    await eventually(() =>
      controls.every(({configuration}) => configuration.revision === 1),
    );
    await eventually(() =>
      controls.every(({membership}) => membership.livePeers().length === 3),
    );
    expect(four.configuration.renewedMillisecondsAgo).toBeLessThan(2000);
  });
});
