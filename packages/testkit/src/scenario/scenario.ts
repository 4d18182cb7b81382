/**
 * @fileoverview State of one scenario: its cluster, its customers, and the
 * answers that its callers got.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';

import {OperatorClient} from '@dogwoodtrestle/operator-cli';
import {
  type Bill,
  type BudgetView,
  type ChangeResult,
} from '@dogwoodtrestle/schema';
import {request} from 'undici';

import {call, type CallerResponse, chat} from '../callers.js';
import {
  Cluster,
  type ClusterOptions,
  type StandInProcess,
} from '../launcher/cluster.js';
import {type ProcessExit} from '../launcher/managedProcess.js';
import {type ControlMessage, type ReceivedCall} from '../standIn/options.js';
import {type Execution, readExecutions} from '../standIn/serviceServer.js';
import {eventually} from '../util/eventually.js';
import {LoadGenerator} from './loadGenerator.js';
import {testContract, testWorkspaceKey} from './testContract.js';

/** A chat call of a scenario. */
export interface ScenarioChat {
  router: string;
  customer: string;
  words: number;
  stream?: boolean;
  idempotencyKey?: string;
}

/** A server that left: when it said so, and what it received. */
export interface DepartedServer {
  /** Wall time in milliseconds since the epoch. */
  signaledAt: number;
  calls: ReceivedCall[];
}

/** Intervals that keep scenarios short. */
const quickSettings: ClusterOptions['settings'] = {
  ledger: {
    heartbeatMilliseconds: 50,
    electionTimeoutMilliseconds: 500,
    submitTimeoutMilliseconds: 1000,
    abandonedAfterSeconds: 5,
    replaceReplicaAfterSeconds: 6,
  },
  requests: {idleStreamMilliseconds: 3000, deadlineMilliseconds: 15_000},
  shutdown: {drainMilliseconds: 10_000, announceMilliseconds: 200},
};

const operatorTimeoutMilliseconds = 4000;
const knownTimeoutMilliseconds = 10_000;
const servedTimeoutMilliseconds = 30_000;
const retryPauseMilliseconds = 250;
const maximumCallsUntilRefused = 2000;
const loadWords = 8;
const unavailable = 503;
const electionTries = 6;
/** Longer than the time in which a leaving server may still get work. */
const scenarioLeaveMilliseconds = 6000;

/** One running scenario. */
export class Scenario {
  readonly responses: CallerResponse[] = [];
  /** Number of answers before the newest partition. */
  responseCountBeforePartition = 0;
  private readonly left = new Map<string, DepartedServer>();

  private constructor(readonly cluster: Cluster) {}

  /** Starts a cluster with stand-ins: two model servers and a service. */
  static async start(options: Partial<ClusterOptions>): Promise<Scenario> {
    const cluster = await Cluster.create({settings: quickSettings, ...options});
    try {
      await cluster.startAll();
      for (const name of ['model-1', 'model-2']) {
        await cluster.startStandIn({
          kind: 'model',
          name,
          model: 'test-model',
          leaveMilliseconds: scenarioLeaveMilliseconds,
        });
      }
      await cluster.startStandIn({kind: 'service', name: 'bookings-1'});
      const scenario = new Scenario(cluster);
      await scenario.waitForBackends();
      return scenario;
    } catch (error) {
      await cluster.stop();
      throw error;
    }
  }

  /** Operator client of some daemons; by default of all. */
  operator(names?: readonly string[]): OperatorClient {
    const routers = names ?? [...this.cluster.daemons.keys()];
    return new OperatorClient({
      urls: routers.map(name => this.url(name)),
      key: this.cluster.operatorKey,
      timeoutMilliseconds: operatorTimeoutMilliseconds,
    });
  }

  /** Applies a contract and waits until it is in force. */
  async applyContract(
    customer: string,
    prepaid: number,
    overrides: object = {},
  ): Promise<void> {
    await eventually(knownTimeoutMilliseconds, async () => {
      const {state, findings} = await this.changeContract(
        customer,
        prepaid,
        overrides,
      );
      return state === 'accepted' ? true : JSON.stringify(findings ?? state);
    });
  }

  /** Sends a contract once, as a new change that replaces the newest version. */
  async changeContract(
    customer: string,
    prepaid: number,
    overrides: object = {},
  ): Promise<ChangeResult> {
    const operator = this.operator();
    const known = await operator.findContract(customer);
    return operator.applyContract({
      changeId: randomUUID(),
      operator: 'scenario',
      expectedVersion: known?.version ?? 0,
      contract: testContract(customer, prepaid, overrides),
    });
  }

  /** Sends contracts at once, all of which replace the same version. */
  async applyConcurrently(
    customer: string,
    changes: ReadonlyArray<{prepaid: number; router: string}>,
  ): Promise<ChangeResult[]> {
    const known = await this.operator().findContract(customer);
    return Promise.all(
      changes.map(({prepaid, router}) =>
        this.operator([router]).applyContract({
          changeId: randomUUID(),
          operator: `operator at ${router}`,
          expectedVersion: known?.version ?? 0,
          contract: testContract(customer, prepaid),
        }),
      ),
    );
  }

  /** Retires a contract through some daemons. */
  async retireContract(
    customer: string,
    routers: readonly string[],
    changeId: string = randomUUID(),
  ): Promise<ChangeResult> {
    const operator = this.operator(routers);
    const known = await operator.findContract(customer);
    return operator.retireContract(customer, {
      changeId,
      operator: 'scenario',
      expectedVersion: known?.version ?? 0,
    });
  }

  /** Makes a chat call and keeps its answer. */
  async chat(options: ScenarioChat): Promise<CallerResponse> {
    const answer = await this.chatUnrecorded(options);
    this.responses.push(answer);
    return answer;
  }

  /** Makes a chat call without keeping its answer. */
  async chatUnrecorded(options: ScenarioChat): Promise<CallerResponse> {
    return chat({
      url: this.url(options.router),
      key: testWorkspaceKey(options.customer),
      model: 'test-model',
      prompt: promptForWords(options.words),
      stream: options.stream,
      maximumTokens: options.words,
      idempotencyKey: options.idempotencyKey,
    });
  }

  /** Repeats a call as a caller would until it is served; keeps that answer. */
  async retryUntilServed(
    makeCall: () => Promise<CallerResponse>,
  ): Promise<void> {
    const answer = await eventually(servedTimeoutMilliseconds, async () => {
      const {status, error, ...rest} = await makeCall();
      if (status < 300 && error === undefined) return {status, ...rest};
      await sleep(retryPauseMilliseconds);
      return `${status} ${JSON.stringify(error)}`;
    });
    this.responses.push(answer);
  }

  /** Calls routers in turn until all of them refuse for exhaustion. */
  async chatUntilRefused(
    routers: readonly string[],
    options: Omit<ScenarioChat, 'router'>,
  ): Promise<void> {
    const left = new Set(routers);
    for (let calls = 0; left.size > 0; calls++) {
      if (calls > maximumCallsUntilRefused) throw new Error('never refused');
      for (const router of left) {
        const answer = await this.chatDespiteElection({...options, router});
        this.responses.push(answer);
        if (answer.status !== 200) left.delete(router);
      }
    }
  }

  /** Repeats a call for a while that is refused as unavailable. */
  private async chatDespiteElection(
    options: ScenarioChat,
  ): Promise<CallerResponse> {
    for (let tries = 1; ; tries++) {
      const answer = await this.chatUnrecorded(options);
      if (answer.status !== unavailable || tries === electionTries) {
        return answer;
      }
      await sleep(retryPauseMilliseconds);
    }
  }

  /** Books a lot. */
  async book(
    router: string,
    customer: string,
    lot: string,
    idempotencyKey: string,
  ): Promise<CallerResponse> {
    return call({
      url: this.url(router),
      key: testWorkspaceKey(customer),
      path: '/services/bookings/bookings',
      idempotencyKey,
      body: {lot},
    });
  }

  /**
   * Starts a load of chat calls, by turns on all daemons, or on those whose
   * readiness check passes, as behind a balancer.
   */
  startLoad(
    perSecond: number,
    customer: string,
    {onlyReady}: {onlyReady: boolean},
  ): LoadGenerator {
    const names = [...this.cluster.daemons.keys()];
    return new LoadGenerator(perSecond, async number => {
      const turned = names.map(
        (_, index) => names[(number + index) % names.length] ?? '',
      );
      const router = onlyReady ? await this.firstReady(turned) : turned[0];
      return this.chatUnrecorded({
        router: router ?? '',
        customer,
        words: loadWords,
        stream: number % 2 === 0,
      });
    });
  }

  /** Stops a daemon gracefully and starts it again. */
  async restart(name: string): Promise<ProcessExit> {
    const exit = await this.cluster.terminate(name);
    await this.cluster.start(name);
    return exit;
  }

  /** Silently drops all traffic between two groups of daemons. */
  partition(left: readonly string[], right: readonly string[]): void {
    this.responseCountBeforePartition = this.responses.length;
    this.cluster.setLinks(left, right, {
      dropForward: true,
      dropBackward: true,
    });
  }

  /** Name of the instance whose replica leads. */
  async leaderName(): Promise<string> {
    return (
      await eventually(knownTimeoutMilliseconds, async () => {
        const replicas = await this.operator().replicas();
        const leader = replicas.find(each => each.role === 'leader');
        return leader === undefined ? 'no leader' : {name: leader.instance};
      })
    ).name;
  }

  /** Sends a message to all stand-ins of a kind. */
  async controlAll(
    kind: 'model' | 'service',
    message: ControlMessage,
  ): Promise<void> {
    for (const {name, options} of this.cluster.standIns.values()) {
      if (options.kind === kind) await this.control(name, message);
    }
  }

  /** Sends a message to one stand-in. */
  async control(name: string, message: ControlMessage): Promise<void> {
    await readJson(`${this.standIn(name).url}/control`, message);
  }

  /** Calls that a stand-in received. */
  async calls(name: string): Promise<ReceivedCall[]> {
    const calls = await readJson(`${this.standIn(name).url}/control/calls`);
    return calls as ReceivedCall[];
  }

  /** Has a server leave, and keeps what it received until its end. */
  async leave(name: string): Promise<void> {
    const {process} = this.standIn(name);
    const signaledAt = Date.now();
    const server: DepartedServer = {signaledAt, calls: []};
    this.left.set(name, server);
    process.signal('SIGTERM');
    while (process.alive) {
      server.calls = await this.calls(name).catch(() => server.calls);
      await sleep(retryPauseMilliseconds);
    }
  }

  /** A server that left. */
  departedServer(name: string): DepartedServer {
    const server = this.left.get(name);
    if (server === undefined) throw new Error(`${name} did not leave`);
    return server;
  }

  /** The stand-in of a name. */
  standIn(name: string): StandInProcess {
    const standIn = this.cluster.standIns.get(name);
    if (standIn === undefined) throw new Error(`no server '${name}'`);
    return standIn;
  }

  /** Executions of bookings, also those of a service that was killed. */
  executions(lot: string): Execution[] {
    return readExecutions(this.cluster.file('bookings-1.jsonl')).filter(
      each => each.lot === lot,
    );
  }

  /** All bills of a customer. */
  async bills(customer: string): Promise<Bill[]> {
    return this.operator().bills({customer, limit: 10_000});
  }

  /** Waits until no request of a customer is open. */
  async waitUntilSettled(
    customer: string,
    timeoutMilliseconds: number,
  ): Promise<BudgetView> {
    return eventually(timeoutMilliseconds, async () => {
      const budget = await this.operator().budget(customer);
      const {reserved, openRequests} = budget;
      return reserved === 0 && openRequests === 0
        ? budget
        : `${openRequests} open requests hold ${reserved}`;
    });
  }

  /** Base URL of a daemon. */
  url(name: string): string {
    return this.cluster.daemon(name).url;
  }

  /** Waits until every daemon knows every stand-in. */
  async waitForBackends(): Promise<void> {
    for (const name of this.cluster.daemons.keys()) {
      await eventually(knownTimeoutMilliseconds, async () => {
        const known = await this.operator([name]).backends();
        return known.length === this.cluster.standIns.size
          ? true
          : `${name} knows ${known.length} backend servers`;
      });
    }
  }

  private async firstReady(names: readonly string[]): Promise<string> {
    for (const name of names) {
      if (await this.operator([name]).healthy('ready')) return name;
    }
    throw new Error('no daemon is ready');
  }
}

/** Prompt that is answered by so many words. */
export function promptForWords(words: number): string {
  return `Say ${words} words.`;
}

async function readJson(url: string, body?: object): Promise<unknown> {
  const answer = await request(url, {
    method: body === undefined ? 'GET' : 'POST',
    headers: body === undefined ? {} : {'content-type': 'application/json'},
    body: body === undefined ? null : JSON.stringify(body),
  });
  return answer.body.json();
}
