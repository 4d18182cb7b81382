/**
 * @fileoverview A running scenario: its cluster, the actions of callers and
 * operators, and the responses that callers received.
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

/** Options of a chat call. */
export interface ScenarioChat {
  router: string;
  customer: string;
  words: number;
  stream?: boolean;
  idempotencyKey?: string;
}

/** A backend server that was told to leave, and the calls it received. */
export interface DepartedServer {
  /** Time of the SIGTERM, in milliseconds since the epoch. */
  signaledAt: number;
  calls: ReceivedCall[];
}

/** Settings with short intervals and timeouts, to keep scenarios short. */
const shortIntervalSettings: ClusterOptions['settings'] = {
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
const propagationTimeoutMilliseconds = 10_000;
const servedTimeoutMilliseconds = 30_000;
const retryPauseMilliseconds = 250;
const maximumRoundsUntilRefused = 2000;
const wordsPerLoadCall = 8;
const unavailableStatus = 503;
const maximumElectionAttempts = 6;
/** Longer than the time in which a leaving server may still get requests. */
const scenarioLeaveMilliseconds = 6000;

/** One running scenario. */
export class Scenario {
  readonly responses: CallerResponse[] = [];
  /** Number of responses recorded before the latest partition. */
  responseCountBeforePartition = 0;
  private readonly departedServers = new Map<string, DepartedServer>();

  private constructor(readonly cluster: Cluster) {}

  /** Starts a cluster with two stand-in model servers and a booking service. */
  static async start(options: Partial<ClusterOptions>): Promise<Scenario> {
    const cluster = await Cluster.create({
      settings: shortIntervalSettings,
      ...options,
    });
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

  /** Returns an operator client for the given daemons, by default for all. */
  operator(names?: readonly string[]): OperatorClient {
    const routers = names ?? [...this.cluster.daemons.keys()];
    return new OperatorClient({
      urls: routers.map(name => this.url(name)),
      key: this.cluster.operatorKey,
      timeoutMilliseconds: operatorTimeoutMilliseconds,
    });
  }

  /** Applies a contract, again until the change is accepted. */
  async applyContract(
    customer: string,
    prepaid: number,
    overrides: object = {},
  ): Promise<void> {
    await eventually(propagationTimeoutMilliseconds, async () => {
      const {state, findings} = await this.changeContract(
        customer,
        prepaid,
        overrides,
      );
      return state === 'accepted' ? true : JSON.stringify(findings ?? state);
    });
  }

  /** Sends a contract once, as a change that replaces the newest version. */
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

  /** Sends contracts concurrently, all of which replace the same version. */
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

  /** Retires a contract through the given daemons. */
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

  /** Makes a chat call and records its response. */
  async chat(options: ScenarioChat): Promise<CallerResponse> {
    const response = await this.chatUnrecorded(options);
    this.responses.push(response);
    return response;
  }

  /** Makes a chat call without recording its response. */
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

  /** Retries a call until it succeeds, and records the successful response. */
  async retryUntilServed(
    makeCall: () => Promise<CallerResponse>,
  ): Promise<void> {
    const response = await eventually(servedTimeoutMilliseconds, async () => {
      const {status, error, ...rest} = await makeCall();
      if (status < 300 && error === undefined) return {status, ...rest};
      await sleep(retryPauseMilliseconds);
      return `${status} ${JSON.stringify(error)}`;
    });
    this.responses.push(response);
  }

  /** Calls the routers in turn until each has refused; records all responses. */
  async chatUntilRefused(
    routers: readonly string[],
    options: Omit<ScenarioChat, 'router'>,
  ): Promise<void> {
    const remaining = new Set(routers);
    for (let rounds = 0; remaining.size > 0; rounds++) {
      if (rounds > maximumRoundsUntilRefused) throw new Error('never refused');
      for (const router of remaining) {
        const response = await this.chatDuringElection({...options, router});
        this.responses.push(response);
        if (response.status !== 200) remaining.delete(router);
      }
    }
  }

  /** Makes a call, and retries it a few times on status 503. */
  private async chatDuringElection(
    options: ScenarioChat,
  ): Promise<CallerResponse> {
    for (let attemptCount = 1; ; attemptCount++) {
      const response = await this.chatUnrecorded(options);
      if (
        response.status !== unavailableStatus ||
        attemptCount === maximumElectionAttempts
      ) {
        return response;
      }
      await sleep(retryPauseMilliseconds);
    }
  }

  /** Calls the booking service to book a lot. */
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
   * Starts a load of chat calls, distributed round-robin over all daemons.
   * With `onlyReady`, daemons whose readiness check fails are skipped, as a load
   * balancer does.
   */
  startLoad(
    perSecond: number,
    customer: string,
    {onlyReady}: {onlyReady: boolean},
  ): LoadGenerator {
    const names = [...this.cluster.daemons.keys()];
    return new LoadGenerator(perSecond, async number => {
      const rotatedNames = names.map(
        (_, index) => names[(number + index) % names.length] ?? '',
      );
      const router = onlyReady
        ? await this.findReadyDaemon(rotatedNames)
        : rotatedNames[0];
      return this.chatUnrecorded({
        router: router ?? '',
        customer,
        words: wordsPerLoadCall,
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

  /** Drops all traffic between two groups of daemons. */
  partition(left: readonly string[], right: readonly string[]): void {
    this.responseCountBeforePartition = this.responses.length;
    this.cluster.setLinks(left, right, {
      dropForward: true,
      dropBackward: true,
    });
  }

  /** Returns the name of the instance that holds the leader replica. */
  async leaderName(): Promise<string> {
    return (
      await eventually(propagationTimeoutMilliseconds, async () => {
        const replicas = await this.operator().replicas();
        const leader = replicas.find(each => each.role === 'leader');
        return leader === undefined ? 'no leader' : {name: leader.instance};
      })
    ).name;
  }

  /** Sends a control message to all stand-ins of a kind. */
  async controlAll(
    kind: 'model' | 'service',
    message: ControlMessage,
  ): Promise<void> {
    for (const {name, options} of this.cluster.standIns.values()) {
      if (options.kind === kind) await this.control(name, message);
    }
  }

  /** Sends a control message to one stand-in. */
  async control(name: string, message: ControlMessage): Promise<void> {
    await requestJson(`${this.standIn(name).url}/control`, message);
  }

  /** Returns the calls that a stand-in received. */
  async calls(name: string): Promise<ReceivedCall[]> {
    const calls = await requestJson(`${this.standIn(name).url}/control/calls`);
    return calls as ReceivedCall[];
  }

  /** Sends SIGTERM to a stand-in and records its calls until it exits. */
  async leave(name: string): Promise<void> {
    const {process} = this.standIn(name);
    const signaledAt = Date.now();
    const server: DepartedServer = {signaledAt, calls: []};
    this.departedServers.set(name, server);
    process.signal('SIGTERM');
    while (process.alive) {
      server.calls = await this.calls(name).catch(() => server.calls);
      await sleep(retryPauseMilliseconds);
    }
  }

  /**
   * Returns a stand-in that was told to leave.
   *
   * @throws If {@link Scenario.leave} was not called for it.
   */
  departedServer(name: string): DepartedServer {
    const server = this.departedServers.get(name);
    if (server === undefined) throw new Error(`${name} was not told to leave`);
    return server;
  }

  /**
   * Returns a stand-in by name.
   *
   * @throws If no such stand-in was started.
   */
  standIn(name: string): StandInProcess {
    const standIn = this.cluster.standIns.get(name);
    if (standIn === undefined) throw new Error(`no server named '${name}'`);
    return standIn;
  }

  /** Returns the executed bookings of a lot, also those before a restart. */
  executions(lot: string): Execution[] {
    return readExecutions(this.cluster.file('bookings-1.jsonl')).filter(
      each => each.lot === lot,
    );
  }

  /** Returns all bills of a customer. */
  async bills(customer: string): Promise<Bill[]> {
    return this.operator().bills({customer, limit: 10_000});
  }

  /** Waits until a customer has no open requests and no reserved amount. */
  async waitUntilSettled(
    customer: string,
    timeoutMilliseconds: number,
  ): Promise<BudgetView> {
    return eventually(timeoutMilliseconds, async () => {
      const budget = await this.operator().budget(customer);
      const {reserved, openRequests} = budget;
      return reserved === 0 && openRequests === 0
        ? budget
        : `${openRequests} open requests reserve ${reserved} micros`;
    });
  }

  /** Returns the base URL of a daemon. */
  url(name: string): string {
    return this.cluster.daemon(name).url;
  }

  /** Waits until every daemon lists all stand-ins. */
  async waitForBackends(): Promise<void> {
    for (const name of this.cluster.daemons.keys()) {
      await eventually(propagationTimeoutMilliseconds, async () => {
        const known = await this.operator([name]).backends();
        return known.length === this.cluster.standIns.size
          ? true
          : `${name} knows ${known.length} backend servers`;
      });
    }
  }

  private async findReadyDaemon(names: readonly string[]): Promise<string> {
    for (const name of names) {
      if (await this.operator([name]).isHealthy('ready')) return name;
    }
    throw new Error('no daemon is ready');
  }
}

/** Returns a prompt that model servers answer with the given number of words. */
export function promptForWords(words: number): string {
  return `Say ${words} words.`;
}

async function requestJson(url: string, body?: object): Promise<unknown> {
  const response = await request(url, {
    method: body === undefined ? 'GET' : 'POST',
    headers: body === undefined ? {} : {'content-type': 'application/json'},
    body: body === undefined ? null : JSON.stringify(body),
  });
  return response.body.json();
}
