/** @fileoverview Steps of callers: chats, bookings, loads and responses. */
import assert from 'node:assert/strict';

import {Given, Then, When} from '@cucumber/cucumber';
import {
  responseTokens,
  eventually,
  promptForWords,
} from '@dogwoodtrestle/testkit';

import {type ScenarioWorld} from './world.js';

const refusalTimeoutMilliseconds = 15_000;

const chatPattern =
  /^"(\w+)" (asks|starts to ask) (r\d+) for (\d+) words( as a stream)?(?: with the key "(.+)")?( until served| until refused)?$/;

When(
  chatPattern,
  async function (
    this: ScenarioWorld,
    customer: string,
    verb: string,
    router: string,
    words: string,
    stream: string | null,
    idempotencyKey: string | null,
    until: string | null,
  ) {
    const chat = {
      customer,
      router,
      words: Number(words),
      stream: stream !== null,
      idempotencyKey: idempotencyKey ?? undefined,
    };
    if (verb === 'starts to ask') {
      this.pendingCalls.push(this.scenario.chatUnrecorded(chat));
    } else if (until === ' until served') {
      await this.scenario.retryUntilServed(() =>
        this.scenario.chatUnrecorded(chat),
      );
    } else if (until === ' until refused') {
      await this.scenario.chatUntilRefused([router], chat);
    } else {
      await this.scenario.chat(chat);
    }
  },
);

When(
  '{string} asks all routers for {int} words until refused',
  async function (this: ScenarioWorld, customer: string, words: number) {
    await this.scenario.chatUntilRefused(this.daemonNames, {customer, words});
  },
);

When(
  /^"(\w+)" asks the woken instance for (\d+) words( until served)?$/,
  async function (
    this: ScenarioWorld,
    customer: string,
    words: string,
    until: string | null,
  ) {
    const chat = {customer, router: this.faultyDaemon, words: Number(words)};
    if (until === null) await this.scenario.chat(chat);
    else {
      await this.scenario.retryUntilServed(() =>
        this.scenario.chatUnrecorded(chat),
      );
    }
  },
);

Given(
  /^"(\w+)" has asked (r\d+) for (\d+) words (\d+) times$/,
  async function (
    this: ScenarioWorld,
    customer: string,
    router: string,
    words: string,
    times: string,
  ) {
    for (let count = 0; count < Number(times); count++) {
      await this.scenario.chat({customer, router, words: Number(words)});
    }
    assertAllWhole(this);
  },
);

Given(
  '{string} has asked all routers for {int} words',
  async function (this: ScenarioWorld, customer: string, words: number) {
    for (const router of this.daemonNames) {
      await this.scenario.chat({customer, router, words});
    }
    assertAllWhole(this);
  },
);

When(
  /^"(\w+)" (books|starts to book) the lot "(\w+)" through (r\d+) with the key "([^"]+)"( until served)?$/,
  async function (
    this: ScenarioWorld,
    customer: string,
    verb: string,
    lot: string,
    router: string,
    key: string,
    until: string | null,
  ) {
    const book = () => this.scenario.book(router, customer, lot, key);
    if (verb === 'starts to book') this.pendingCalls.push(book());
    else if (until === null) this.scenario.responses.push(await book());
    else await this.scenario.retryUntilServed(book);
  },
);

Given(
  /^a load of (\d+) requests a second on all (ready )?routers by "(\w+)"$/,
  function (
    this: ScenarioWorld,
    perSecond: string,
    ready: string | null,
    customer: string,
  ) {
    this.load = this.scenario.startLoad(Number(perSecond), customer, {
      onlyReady: ready !== null,
    });
  },
);

When('the load stops', async function (this: ScenarioWorld) {
  this.scenario.responses.push(...((await this.load?.stop()) ?? []));
  this.load = undefined;
});

Then('the answer is whole', function (this: ScenarioWorld) {
  assertWhole(this, this.scenario.responses.length - 1);
});

Then('the started answer is whole', async function (this: ScenarioWorld) {
  this.scenario.responses.push(...(await Promise.all(this.pendingCalls)));
  assertWhole(this, this.scenario.responses.length - 1);
});

Then('the started answer was cut off', async function (this: ScenarioWorld) {
  const [response] = await Promise.all(this.pendingCalls);
  assert.ok(response !== undefined && response.text !== '', response?.body);
  assert.equal(response.finished, false);
});

Then('every answer is whole', function (this: ScenarioWorld) {
  assertAllWhole(this);
});

Then(
  'the answer has the status {int}',
  function (this: ScenarioWorld, status: number) {
    assert.equal(this.lastResponse.status, status, this.lastResponse.body);
  },
);

Then(
  'the last answer is refused as {string} and did not run',
  function (this: ScenarioWorld, code: string) {
    const {error} = this.lastResponse;
    assert.equal(error?.code, code);
    assert.equal(error?.didNotRun, true);
  },
);

Then(
  /^at least (\d+) answers? of r\d+ (?:was|were) whole during the partition$/,
  function (this: ScenarioWorld, count: string) {
    const {responseCountBeforePartition} = this.scenario;
    const whole = this.scenario.responses
      .slice(responseCountBeforePartition)
      .filter(isServed);
    assert.ok(
      whole.length >= Number(count),
      `${whole.length} whole; last: ${this.lastResponse.body}`,
    );
  },
);

Then(
  /^(r\d+) refuses "(\w+)"$/,
  async function (this: ScenarioWorld, router: string, customer: string) {
    const response = await this.scenario.chatUnrecorded({
      router,
      customer,
      words: 5,
    });
    assert.ok(response.status >= 400, `served: ${response.status}`);
    assert.equal(response.error?.didNotRun, true, response.body);
  },
);

Then(
  /^(r\d+) refuses "(\w+)" as "(\w+)"$/,
  async function (
    this: ScenarioWorld,
    router: string,
    customer: string,
    code: string,
  ) {
    const call = {router, customer, words: 5};
    // After a restart the quorum may be unreachable for a while.
    const response = await eventually(refusalTimeoutMilliseconds, async () => {
      const response = await this.scenario.chatUnrecorded(call);
      const isQuorumUnreachable = response.error?.code === 'quorumUnreachable';
      return isQuorumUnreachable ? response.body : response;
    });
    assert.ok(response.status >= 400, `served: ${response.status}`);
    assert.equal(response.error?.code, code);
    assert.equal(response.error?.didNotRun, true);
  },
);

Then(
  'each answer can be explained by {word}',
  async function (this: ScenarioWorld, router: string) {
    for (const {requestId} of this.scenario.responses) {
      const operator = this.scenario.operator([router]);
      const {found} = await operator.explain(requestId);
      assert.ok(found, `${requestId} is not known`);
    }
  },
);

Then(
  'the lot {string} was sold exactly once',
  function (this: ScenarioWorld, lot: string) {
    assert.equal(
      this.scenario.executions(lot).length,
      1,
      this.lastResponse.body,
    );
  },
);

Then(
  'an answer that says it did not run is true of the lot {string}',
  function (this: ScenarioWorld, lot: string) {
    const ran = this.scenario.executions(lot).length;
    assert.ok(ran <= 1);
    const {error, status} = this.lastResponse;
    if (error?.didNotRun === true) assert.equal(ran, 0);
    if (status === 201) assert.equal(ran, 1);
    assert.ok(error !== undefined || status === 201, this.lastResponse.body);
  },
);

function isServed(response: ScenarioWorld['lastResponse']): boolean {
  return response.status === 200 && response.error === undefined;
}

function assertAllWhole(world: ScenarioWorld): void {
  assert.ok(world.scenario.responses.length > 0, 'no call was made');
  for (const i of world.scenario.responses.keys()) assertWhole(world, i);
}

/** Checks that a response is complete and has the expected text. */
function assertWhole(world: ScenarioWorld, index: number): void {
  const response = world.scenario.responses[index];
  assert.ok(response !== undefined, 'no call was made');
  const {status, body, error, finished, text} = response;
  const shown = error === undefined ? body.slice(0, 300) : error;
  assert.equal(status, 200, JSON.stringify(shown));
  assert.ok(finished, `no end: ${JSON.stringify(shown)}`);
  assert.equal(error, undefined);
  const words = text.split(' ').length;
  assert.equal(text, responseTokens(promptForWords(words), words).join(''));
}
