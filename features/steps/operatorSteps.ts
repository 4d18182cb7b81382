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

const settleMilliseconds = 15_000;
const mergeMilliseconds = 25_000;
const changeTries = 4;
const retryMilliseconds = 500;

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
    await eventually(settleMilliseconds, async () => {
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
    const running = this.daemonNames.filter(name => name !== this.frozen);
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
    this.changes.push(
      await retried(changeTries, () =>
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
    this.changes.push(change);
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
    this.changes = await this.scenario.applyConcurrently(customer, [
      {prepaid: Number(firstAmount), router: firstRouter},
      {prepaid: Number(secondAmount), router: secondRouter},
    ]);
  },
);

Then(
  'exactly one of them is accepted, and the other is told who won',
  function (this: ScenarioWorld) {
    const accepted = this.changes.filter(each => each.state === 'accepted');
    const rejected = this.changes.filter(each => each.state === 'rejected');
    assert.equal(accepted.length, 1, JSON.stringify(this.changes));
    assert.equal(rejected.length, 1, JSON.stringify(this.changes));
    assert.equal(rejected[0]?.winner?.changeId, accepted[0]?.changeId);
    assert.deepEqual(rejected[0]?.winner?.differs, ['/budget/prepaid']);
  },
);

Then(
  'every router has the accepted budget of {string}',
  async function (this: ScenarioWorld, customer: string) {
    const accepted = this.changes.find(each => each.state === 'accepted');
    for (const name of this.daemonNames) {
      const view = await this.scenario.operator([name]).findContract(customer);
      assert.equal(view?.version, accepted?.version, name);
    }
    await eventually(settleMilliseconds, async () => {
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
    assert.equal(this.changeError, undefined);
    assert.equal(this.change.state, state, JSON.stringify(this.change));
  },
);

Then('the top-up is not confirmed', function (this: ScenarioWorld) {
  assert.ok(this.changeError !== undefined, JSON.stringify(this.changes));
});

Then('the change is refused', function (this: ScenarioWorld) {
  if (this.changeError !== undefined) return;
  assert.equal(this.change.state, 'rejected', JSON.stringify(this.change));
});

Then(
  'within {int} s the change is accepted',
  async function (this: ScenarioWorld, seconds: number) {
    const {changeId} = this.change;
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
    await assertBudget(this, customer, settleMilliseconds);
  },
);

Then(
  'the budget of {string} holds after all grants are merged',
  async function (this: ScenarioWorld, customer: string) {
    await eventually(mergeMilliseconds, async () => {
      const {grants} = await this.scenario.operator().budget(customer);
      return (
        grants.every(each => !each.expired) ||
        `grants ${JSON.stringify(grants)}`
      );
    });
    await assertBudget(this, customer, mergeMilliseconds);
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
    await this.scenario.waitUntilSettled(customer, settleMilliseconds);
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
  const order = {changeId, operator: 'scenario', amount};
  try {
    world.changes.push(
      await retried(changeTries, () => operator.topUp(customer, order)),
    );
    world.changeError = undefined;
  } catch (error) {
    world.changeError = error;
  }
}

/** Sends a change again, as an operator does while a leader is elected. */
async function retried<T>(tries: number, send: () => Promise<T>): Promise<T> {
  try {
    return await send();
  } catch (error) {
    const isUnanswered =
      error instanceof UnreachableError || error instanceof OutcomeUnknownError;
    if (!isUnanswered || tries <= 1) throw error;
    await sleep(retryMilliseconds);
    return retried(tries - 1, send);
  }
}

/** Checks that bills, budget and committed history agree, and the budget covers them. */
async function assertBudget(
  world: ScenarioWorld,
  customer: string,
  timeoutMilliseconds: number,
): Promise<void> {
  const {scenario} = world;
  const budget = await scenario.waitUntilSettled(customer, timeoutMilliseconds);
  assert.ok(budget.billed <= budget.prepaid, JSON.stringify(budget));
  const bills = await scenario.bills(customer);
  const sum = bills.reduce((total, each) => total + each.cost, 0);
  assert.equal(sum, budget.billed, 'sum of the bills');
  // Fails with what it printed where the history disagrees with the balances.
  await ctl(scenario.cluster, ['audit']);
}

async function assertBills(
  world: ScenarioWorld,
  customer: string,
  count: number,
): Promise<void> {
  // A request that is still open may be billed later.
  await world.scenario.waitUntilSettled(customer, settleMilliseconds);
  const ran = await eventually(settleMilliseconds, async () => {
    const bills = await world.scenario.bills(customer);
    // A refused request may leave a bill of nothing that says it did not run.
    const refused = bills.filter(each => each.outcome === 'didNotRun');
    assert.ok(
      refused.every(each => each.cost === 0),
      `bills of what did not run: ${JSON.stringify(refused)}`,
    );
    const found = bills.filter(each => each.outcome !== 'didNotRun');
    return found.length >= count ? found : `${found.length} bills of ${count}`;
  });
  const keys = new Set(ran.map(each => each.requestKey));
  assert.equal(ran.length, count, `bills: ${JSON.stringify(ran)}`);
  assert.equal(keys.size, count, 'number of billed requests');
}
