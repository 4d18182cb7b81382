/**
 * @fileoverview Public API of the request path, which serves callers' chat
 * requests and service calls on one instance.
 */
import {type StoredAnswer} from '@dogwoodtrestle/schema';
import {type FastifyInstance} from 'fastify';
import {Agent} from 'undici';

import {pause} from '../util/pause.js';
import {createUnkeptAgent} from '../util/unkeptAgent.js';
import {AdmissionGate} from './admissionGate.js';
import {ResponseStore} from './responseStore.js';
import {createConnector} from './backendSocket.js';
import {BackendSelector} from './backendSelector.js';
import {addCallerRoutes} from './callerRoutes.js';
import {ChatHandler} from './chatHandler.js';
import {type RequestDependencies} from './dependencies.js';
import {Explanations} from './explanations.js';
import {ContractLimiter} from './contractLimiter.js';
import {ModelClient} from './modelClient.js';
import {RequestOpener} from './requestOpener.js';
import {ServiceClient} from './serviceClient.js';
import {ServiceHandler} from './serviceHandler.js';
import {RequestSettler} from './requestSettler.js';

export {type RequestDependencies} from './dependencies.js';

/** Largest number of connections to one backend server. */
const maximumConnectionsPerBackend = 512;

/**
 * Interval at which the directory of backend servers is read, in milliseconds.
 * It is shorter than the interval of announcements.
 */
const directoryRefreshIntervalMilliseconds = 250;

/** Interval at which draining checks for running requests, in milliseconds. */
const drainPollIntervalMilliseconds = 20;

const connectionOptions: Agent.Options = {
  connections: maximumConnectionsPerBackend,
  connect: createConnector(),
};

/** Serves callers on one instance. */
export class RequestPath {
  readonly explanations = new Explanations();
  private readonly dispatcher = new Agent(connectionOptions);
  private readonly unkept = createUnkeptAgent(connectionOptions);
  private readonly answers: ResponseStore;
  private readonly settler: RequestSettler;
  private readonly selector: BackendSelector;
  private readonly chat: ChatHandler;
  private readonly services: ServiceHandler;
  private serving = true;
  private refreshTimer: NodeJS.Timeout | undefined;

  constructor(private readonly dependencies: RequestDependencies) {
    const {answerMemoryBytes, idleStreamMilliseconds} =
      dependencies.settings.requests;
    const clientOptions = {
      dispatcher: this.dispatcher,
      unkept: this.unkept,
      idleMilliseconds: idleStreamMilliseconds,
      onAttemptMismatch: () =>
        dependencies.metrics.increment('attempts.crossed'),
    };
    this.answers = new ResponseStore(answerMemoryBytes);
    this.settler = new RequestSettler(dependencies);
    this.selector = new BackendSelector(dependencies);
    const parts = {
      dependencies,
      models: new ModelClient(clientOptions),
      services: new ServiceClient(clientOptions),
      selector: this.selector,
      settler: this.settler,
      opener: new RequestOpener(dependencies, this.settler),
      answers: this.answers,
      limiter: new ContractLimiter(
        dependencies,
        new AdmissionGate(dependencies, this.selector),
      ),
    };
    this.chat = new ChatHandler(parts);
    this.services = new ServiceHandler(parts);
  }

  /** Number of requests in progress. */
  get inFlight(): number {
    return this.answers.runningCount + this.services.inFlight;
  }

  /** Whether this instance is running or settling a request. */
  isRunning(requestKey: string): boolean {
    return (
      this.answers.find(requestKey)?.state === 'running' ||
      this.services.isRunning(requestKey) ||
      this.settler.isSettling(requestKey)
    );
  }

  /** Number of this instance's requests in flight at a backend server. */
  inFlightAt(backend: string): number {
    return this.selector.inFlight(backend);
  }

  /** Whether outlier detection has ejected a backend server. */
  isEjected(backend: string): boolean {
    return this.selector.isEjected(backend);
  }

  /**
   * Returns the stored response of a complete request, for another instance.
   */
  keptAnswer(requestKey: string): StoredAnswer | undefined {
    const answer = this.answers.find(requestKey);
    if (answer?.state !== 'complete' || answer.head === undefined) {
      return undefined;
    }
    return {...answer.head, body: answer.text()};
  }

  /** Adds the routes for callers to an HTTP server. */
  async addRoutes(server: FastifyInstance): Promise<void> {
    await addCallerRoutes(server, {
      dependencies: this.dependencies,
      explanations: this.explanations,
      chat: this.chat,
      services: this.services,
      isServing: () => this.serving,
    });
  }

  /** Starts to track changes of the directory of backend servers. */
  start(): void {
    this.refreshTimer = setInterval(() => {
      this.selector.refresh();
      this.dependencies.metrics.gauge('requests.in_flight', this.inFlight);
    }, directoryRefreshIntervalMilliseconds);
  }

  /** Refuses all new requests from now on, with the code `leaving`. */
  stopAccepting(): void {
    this.serving = false;
  }

  /**
   * Waits until all requests have ended and are settled, or the time is up.
   *
   * @param milliseconds Longest wait, in milliseconds.
   * @returns Numbers of requests still running and of settlements not yet
   *     recorded at the deadline.
   */
  async drain(
    milliseconds: number,
  ): Promise<{requests: number; settlements: number}> {
    const {now} = this.dependencies;
    const deadline = now() + milliseconds;
    while (this.inFlight > 0 && now() < deadline) {
      await pause(drainPollIntervalMilliseconds);
    }
    const requests = this.inFlight;
    const settlements = await this.settler.drain(Math.max(0, deadline - now()));
    return {requests, settlements};
  }

  /** Closes the connections to backend servers. */
  async close(): Promise<void> {
    clearInterval(this.refreshTimer);
    await this.dispatcher.destroy();
    await this.unkept.destroy();
  }
}
