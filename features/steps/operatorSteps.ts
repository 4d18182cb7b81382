/** @fileoverview Steps of operators and auditors. */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';

import {type DataTable, Given, Then, When} from '@cucumber/cucumber';
import {
  OutcomeUnknownError,
  UnreachableError,
} from '@dogwoodtrestle/operator-cli';
import {ctl, eventually} from '@dogwoodtrestle/testkit';

import {type ScenarioWorld, type SentTopUp} from './world.js';

const settleTimeoutMilliseconds = 15_000;
const mergeTimeoutMilliseconds = 25_000;
const maximumChangeAttempts = 4;
const retryPauseMilliseconds = 500;

Given(
  'the customer {string} with a budget of {int}',
  async function (this: ScenarioWorld, customer: string, prepaid: number) {
    await this.scenario.applyContract(customer, prepaid);
  },
);

Given(
  'the customer {string} with a budget of {int} and these partition terms:',
  async function (
    this: ScenarioWorld,
    customer: string,
    prepaid: number,
    table: DataTable,
  ) {
    const [terms = {}] = table.hashes();
    const partition = Object.fromEntries(
      Object.entries(terms).map(([name, value]) => [name, Number(value)]),
    );
    await this.scenario.applyContract(customer, prepaid, {partition});
  },
);

Given(
  'the contract of {string} is retired',
  async function (this: ScenarioWorld, customer: string) {
    await this.scenario.retireContract(customer, this.daemonNames);
    await eventually(settleTimeoutMilliseconds, async () => {
      const view = await this.scenario.operator().findContract(customer);
      return view?.retired === true || 'not retired yet';
    });
  },
);

Given(
  '{int} changes of the customer {string}',
  async function (this: ScenarioWorld, count: number, customer: string) {
    for (let number = 1; number <= count; number++) {
      await this.scenario.changeContract(customer, 1000 + number);
    }
  },
);

When(
  /^an operator tops up "(\w+)" by (\d+) through (r\d+|the (?:running|other) instances)(?: and loses the answer)?$/,
  async function (
    this: ScenarioWorld,
    customer: string,
    amount: string,
    through: string,
  ) {
    const running = this.daemonNames.filter(name => name !== this.faultyDaemon);
    const routers = through.startsWith('r') ? [through] : running;
    this.topUp = {customer, amount: Number(amount), changeId: randomUUID()};
    await sendTopUp(this, routers, this.topUp);
  },
);

When(
  /^the operator sends the same change through (r\d+)$/,
  async function (this: ScenarioWorld, router: string) {
    assert.ok(this.topUp !== undefined);
    await sendTopUp(this, [router], this.topUp);
  },
);

When(
  /^the operator sends other contents under the same change id through (r\d+)$/,
  async function (this: ScenarioWorld, router: string) {
    assert.ok(this.topUp !== undefined);
    const other = {...this.topUp, amount: this.topUp.amount + 1};
    await sendTopUp(this, [router], other);
  },
);

When(
  /^an operator retires the contract of "(\w+)" through (r\d+)$/,
  async function (this: ScenarioWorld, customer: string, router: string) {
    this.changeResults.push(
      await withRetries(maximumChangeAttempts, () =>
        this.scenario.retireContract(customer, [router], 'retire'),
      ),
    );
  },
);

When(
  'an operator sets the budget of {string} to {int}',
  async function (this: ScenarioWorld, customer: string, prepaid: number) {
    const change = await this.scenario.changeContract(customer, prepaid);
    assert.equal(change.state, 'accepted', JSON.stringify(change));
    this.changeResults.push(change);
  },
);

When(
  /^two operators set the budget of "(\w+)" to (\d+) through (r\d+) and to (\d+) through (r\d+) at once$/,
  async function (
    this: ScenarioWorld,
    customer: string,
    firstAmount: string,
    firstRouter: string,
    secondAmount: string,
    secondRouter: string,
  ) {
    this.changeResults = await this.scenario.applyConcurrently(customer, [
      {prepaid: Number(firstAmount), router: firstRouter},
      {prepaid: Number(secondAmount), router: secondRouter},
    ]);
  },
);

Then(
  'exactly one of them is accepted, and the other is told who won',
  function (this: ScenarioWorld) {
    const accepted = this.changeResults.filter(
      each => each.state === 'accepted',
    );
    const rejected = this.changeResults.filter(
      each => each.state === 'rejected',
    );
    assert.equal(accepted.length, 1, JSON.stringify(this.changeResults));
    assert.equal(rejected.length, 1, JSON.stringify(this.changeResults));
    assert.equal(rejected[0]?.winner?.changeId, accepted[0]?.changeId);
    assert.deepEqual(rejected[0]?.winner?.differs, ['/budget/prepaid']);
  },
);

Then(
  'every router has the accepted budget of {string}',
  async function (this: ScenarioWorld, customer: string) {
    const accepted = this.changeResults.find(each => each.state === 'accepted');
    for (const name of this.daemonNames) {
      const view = await this.scenario.operator([name]).findContract(customer);
      assert.equal(view?.version, accepted?.version, name);
    }
    await eventually(settleTimeoutMilliseconds, async () => {
      const instances = await this.scenario.operator().instances();
      return (
        instances.every(each => each.revision >= (accepted?.revision ?? 0)) ||
        `revisions: ${instances.map(each => each.revision).join(', ')}`
      );
    });
  },
);

Then(
  /^the (?:top-up|change) is (accepted|pending)$/,
  function (this: ScenarioWorld, state: string) {
    assert.equal(this.topUpError, undefined);
    assert.equal(this.lastChange.state, state, JSON.stringify(this.lastChange));
  },
);

Then('the top-up is not confirmed', function (this: ScenarioWorld) {
  assert.ok(this.topUpError !== undefined, JSON.stringify(this.changeResults));
});

Then('the change is refused', function (this: ScenarioWorld) {
  if (this.topUpError !== undefined) return;
  assert.equal(
    this.lastChange.state,
    'rejected',
    JSON.stringify(this.lastChange),
  );
});

Then(
  'within {int} s the change is accepted',
  async function (this: ScenarioWorld, seconds: number) {
    const {changeId} = this.lastChange;
    await eventually(seconds * 1000, async () => {
      const change = await this.scenario.operator(['r1']).findChange(changeId);
      return change?.state === 'accepted' || JSON.stringify(change);
    });
  },
);

Then(
  'the newest version of {string} is {int}',
  async function (this: ScenarioWorld, customer: string, version: number) {
    const view = await this.scenario.operator().findContract(customer);
    assert.equal(view?.version, version);
  },
);

Then(
  'the budget of {string} was topped up by {int}',
  async function (this: ScenarioWorld, customer: string, amount: number) {
    const budget = await this.scenario.operator().budget(customer);
    assert.equal(budget.toppedUp, amount);
  },
);

Then(
  'the budget of {string} holds',
  async function (this: ScenarioWorld, customer: string) {
    await assertBudget(this, customer, settleTimeoutMilliseconds);
  },
);

Then(
  'the budget of {string} holds after all grants are merged',
  async function (this: ScenarioWorld, customer: string) {
    await eventually(mergeTimeoutMilliseconds, async () => {
      const {grants} = await this.scenario.operator().budget(customer);
      return (
        grants.every(each => !each.expired) ||
        `grants ${JSON.stringify(grants)}`
      );
    });
    await assertBudget(this, customer, mergeTimeoutMilliseconds);
  },
);

Then(
  /^"(\w+)" has (\d+) bills?, one for each request$/,
  async function (this: ScenarioWorld, customer: string, count: string) {
    await assertBills(this, customer, Number(count));
  },
);

Then(
  /^"(\w+)" has one bill for each (?:request|whole answer)$/,
  async function (this: ScenarioWorld, customer: string) {
    const served = this.scenario.responses.filter(
      each => each.status === 200 && each.error === undefined,
    );
    await assertBills(this, customer, served.length);
  },
);

Then(
  '{string} has {int} bills under version {int}',
  async function (
    this: ScenarioWorld,
    customer: string,
    count: number,
    version: number,
  ) {
    await this.scenario.waitUntilSettled(customer, settleTimeoutMilliseconds);
    const bills = await this.scenario.bills(customer);
    const found = bills.filter(each => each.contractVersion === version);
    assert.equal(found.length, count, JSON.stringify(bills));
  },
);

Then(
  /^"(\w+)" has at most one bill for the key "([^"]+)"$/,
  async function (this: ScenarioWorld, customer: string, key: string) {
    const bills = await this.scenario.bills(customer);
    const found = bills.filter(each => each.requestKey.endsWith(`/${key}`));
    assert.ok(found.length <= 1, JSON.stringify(found));
  },
);

async function sendTopUp(
  world: ScenarioWorld,
  routers: string[],
  {customer, amount, changeId}: SentTopUp,
): Promise<void> {
  const operator = world.scenario.operator(routers);
  const topUpRequest = {changeId, operator: 'scenario', amount};
  try {
    world.changeResults.push(
      await withRetries(maximumChangeAttempts, () =>
        operator.topUp(customer, topUpRequest),
      ),
    );
    world.topUpError = undefined;
  } catch (error) {
    world.topUpError = error;
  }
}

/** Retries a change, as an operator does while a leader is elected. */
async function withRetries<T>(
  maximumAttempts: number,
  send: () => Promise<T>,
): Promise<T> {
  try {
    return await send();
  } catch (error) {
    const isRetryable =
      error instanceof UnreachableError || error instanceof OutcomeUnknownError;
    if (!isRetryable || maximumAttempts <= 1) throw error;
    await sleep(retryPauseMilliseconds);
    return withRetries(maximumAttempts - 1, send);
  }
}

/**
 * Checks that the bills do not exceed the budget, and that bills, budget and
 * committed history agree.
 */
async function assertBudget(
  world: ScenarioWorld,
  customer: string,
  timeoutMilliseconds: number,
): Promise<void> {
  const {scenario} = world;
  const {budget, bills} = await eventually(timeoutMilliseconds, async () => {
    const before = await scenario.waitUntilSettled(
      customer,
      timeoutMilliseconds,
    );
    const found = await scenario.bills(customer);
    const after = await scenario.operator().budget(customer);
    // A bill that is merged between the reads is in one of them only.
    return (
      (before.billed === after.billed && {budget: after, bills: found}) ||
      `billed ${before.billed}, then ${after.billed}`
    );
  });
  assert.ok(budget.billed <= budget.prepaid, JSON.stringify(budget));
  const sum = bills.reduce((total, each) => total + each.cost, 0);
  assert.equal(sum, budget.billed, 'sum of the bills');
  // Rejects with the command's output if history and balances disagree.
  await ctl(scenario.cluster, ['audit']);
}

async function assertBills(
  world: ScenarioWorld,
  customer: string,
  count: number,
): Promise<void> {
  // Open requests may still be billed.
  await world.scenario.waitUntilSettled(customer, settleTimeoutMilliseconds);
  const executedBills = await eventually(
    settleTimeoutMilliseconds,
    async () => {
      const bills = await world.scenario.bills(customer);
      // A refused request may have a bill with cost 0 and outcome `didNotRun`.
      const refused = bills.filter(each => each.outcome === 'didNotRun');
      assert.ok(
        refused.every(each => each.cost === 0),
        `nonzero bills of requests that did not run: ${JSON.stringify(refused)}`,
      );
      const found = bills.filter(each => each.outcome !== 'didNotRun');
      return found.length >= count
        ? found
        : `${found.length} bills of ${count}`;
    },
  );
  const keys = new Set(executedBills.map(each => each.requestKey));
  assert.equal(
    executedBills.length,
    count,
    `bills: ${JSON.stringify(executedBills)}`,
  );
  assert.equal(keys.size, count, 'number of billed requests');
}
