/** @fileoverview Steps that start, stop, pause, partition and repair. */
import {setTimeout as sleep} from 'node:timers/promises';

import {Given, Then, When} from '@cucumber/cucumber';
import {eventually, type FailureMode} from '@dogwoodtrestle/testkit';

import {type ScenarioWorld} from './world.js';

Given(
  'a cluster of {int} routers with {int} ledger replicas',
  async function (this: ScenarioWorld, routers: number, replicas: number) {
    await this.startCluster({routers, replicas});
  },
);

Given(
  'a cluster of {int} routers with {int} ledger replicas behind relays',
  async function (this: ScenarioWorld, routers: number, replicas: number) {
    await this.startCluster({routers, replicas, relays: true});
  },
);

Given(
  'model servers that take {int} ms a token',
  async function (this: ScenarioWorld, milliseconds: number) {
    await this.scenario.controlAll('model', {
      tokenDelayMilliseconds: milliseconds,
    });
  },
);

Given(
  'the next call of each model server fails as {string}',
  async function (this: ScenarioWorld, kind: string) {
    await this.scenario.controlAll('model', {
      failure: {kind} as FailureMode,
      times: 1,
    });
  },
);

Given(
  'the server {string} always fails as {string}',
  async function (this: ScenarioWorld, name: string, kind: string) {
    const failure = {kind} as FailureMode;
    await this.scenario.control(name, {failure});
  },
);

Then(
  'the server {string} was called',
  async function (this: ScenarioWorld, name: string) {
    const calls = await this.scenario.calls(name);
    if (calls.length === 0) throw new Error(`${name} was not called`);
  },
);

Given(
  'the next call of the service is answered after {int} ms',
  async function (this: ScenarioWorld, milliseconds: number) {
    await this.scenario.controlAll('service', {
      failure: {kind: 'slow', milliseconds},
      times: 1,
    });
  },
);

Given(
  'the next {int} calls of the service fail as {string}',
  async function (this: ScenarioWorld, times: number, kind: string) {
    await this.scenario.controlAll('service', {
      failure: {kind} as FailureMode,
      times,
    });
  },
);

When('{int} ms pass', async (milliseconds: number) => {
  await sleep(milliseconds);
});

When(/^(r\d+) is killed$/, async function (this: ScenarioWorld, name: string) {
  await this.scenario.cluster.kill(name);
});

When(/^(r\d+) is started$/, async function (this: ScenarioWorld, name: string) {
  await this.scenario.cluster.start(name);
});

When(
  /^(r\d+) loses its disk$/,
  async function (this: ScenarioWorld, name: string) {
    const replicas = await this.scenario.operator().replicas();
    const members = replicas.flatMap(each => each.members);
    this.lostReplicaId =
      members.find(each => each.instance === name)?.replicaId ?? '';
    await this.scenario.cluster.loseDisk(name);
  },
);

When(
  'all daemons are killed and started again',
  async function (this: ScenarioWorld) {
    const {cluster} = this.scenario;
    await Promise.all(this.daemonNames.map(name => cluster.kill(name)));
    await cluster.startAll();
    await this.scenario.waitForBackends();
  },
);

When(
  'every daemon is restarted gracefully, one after another',
  async function (this: ScenarioWorld) {
    for (const name of this.daemonNames) {
      const {code, signal} = await this.scenario.restart(name);
      if (code !== 0) throw new Error(`${name} ended with ${signal ?? code}`);
    }
  },
);

When(
  /^(r\d+) is restarted gracefully$/,
  async function (this: ScenarioWorld, name: string) {
    const {code, signal} = await this.scenario.restart(name);
    if (code !== 0) throw new Error(`${name} ended with ${signal ?? code}`);
  },
);

When("the ledger's leader is frozen", async function (this: ScenarioWorld) {
  this.faultyDaemon = await this.scenario.leaderName();
  this.scenario.cluster.daemon(this.faultyDaemon).process?.signal('SIGSTOP');
});

When(/^(r\d+) is frozen$/, function (this: ScenarioWorld, name: string) {
  this.faultyDaemon = name;
  this.scenario.cluster.daemon(name).process?.signal('SIGSTOP');
});

When(
  "the ledger's leader can no longer be heard by the others",
  async function (this: ScenarioWorld) {
    this.faultyDaemon = await this.scenario.leaderName();
    const {cluster} = this.scenario;
    for (const name of this.daemonNames) {
      if (name === this.faultyDaemon) continue;
      cluster.setLink(this.faultyDaemon, name, {dropForward: true});
      cluster.setLink(name, this.faultyDaemon, {dropBackward: true});
    }
  },
);

When('the frozen instance wakes up', function (this: ScenarioWorld) {
  this.scenario.cluster.daemon(this.faultyDaemon).process?.signal('SIGCONT');
});

When(
  /^the network is cut between ([r\d, ]+) and ([r\d, ]+)$/,
  function (this: ScenarioWorld, left: string, right: string) {
    this.scenario.partition(left.split(', '), right.split(', '));
  },
);

When('the network heals', function (this: ScenarioWorld) {
  const names = this.daemonNames;
  this.scenario.cluster.setLinks(names, names, {});
});

When(
  'the server {string} leaves',
  async function (this: ScenarioWorld, name: string) {
    await this.scenario.leave(name);
  },
);

When(
  'the server {string} is killed',
  async function (this: ScenarioWorld, name: string) {
    await this.scenario.standIn(name).process.kill();
  },
);

When(
  'the server {string} is started again',
  async function (this: ScenarioWorld, name: string) {
    const {options} = this.scenario.standIn(name);
    await this.scenario.cluster.startStandIn({...options, name});
  },
);

Then(
  /^within (\d+) s the ledger has (\d+) voters that answer, (r\d+) among them under a new identity$/,
  async function (
    this: ScenarioWorld,
    seconds: string,
    voters: string,
    name: string,
  ) {
    await eventually(Number(seconds) * 1000, async () => {
      const replicas = await this.scenario.operator().replicas();
      const leader = replicas.find(each => each.role === 'leader');
      const members = (leader?.members ?? []).filter(
        each => each.role === 'voter',
      );
      const repaired = members.find(each => each.instance === name);
      const answering = members.filter(each =>
        replicas.some(({replicaId}) => replicaId === each.replicaId),
      );
      return answering.length === Number(voters) &&
        repaired !== undefined &&
        repaired.replicaId !== this.lostReplicaId
        ? true
        : `members: ${JSON.stringify(members)}`;
    });
  },
);

Then(
  'the server {string} got no new work {int} ms after it announced that it leaves',
  async function (this: ScenarioWorld, name: string, milliseconds: number) {
    const {signaledAt, calls} = this.scenario.departedServer(name);
    const late = calls.filter(each => each.at > signaledAt + milliseconds);
    if (late.length > 0) throw new Error(`${late.length} calls arrived later`);
  },
);
