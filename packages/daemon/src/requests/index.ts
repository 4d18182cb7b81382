/**
 * @fileoverview Face of the request path: builds everything that serves
 * callers.
 */
import {type StoredAnswer} from '@dogwoodtrestle/schema';
import {type FastifyInstance} from 'fastify';
import {Agent} from 'undici';

import {pause} from '../util/pause.js';
import {AdmissionGate} from './admissionGate.js';
import {ResponseStore} from './responseStore.js';
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

/** Connections to one backend server. */
const connectionsPerBackend = 512;

/** Time to connect to a backend server, in milliseconds. */
const connectTimeoutMilliseconds = 2000;

/** Interval at which the directory is read, below that of announcements. */
const refreshMilliseconds = 250;

/** Pause between two looks at what is still running, in milliseconds. */
const drainPollMilliseconds = 20;

/** Everything that serves callers on one instance. */
export class RequestPath {
  readonly explanations = new Explanations();
  private readonly dispatcher = new Agent({
    connections: connectionsPerBackend,
    connect: {timeout: connectTimeoutMilliseconds},
  });
  private readonly answers: ResponseStore;
  private readonly settler: RequestSettler;
  private readonly selector: BackendSelector;
  private readonly chat: ChatHandler;
  private readonly services: ServiceHandler;
  private serving = true;
  private refresh: NodeJS.Timeout | undefined;

  constructor(private readonly dependencies: RequestDependencies) {
    const {answerMemoryBytes, idleStreamMilliseconds} =
      dependencies.settings.requests;
    const clientOptions = {
      dispatcher: this.dispatcher,
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

  /** Whether a request is in progress here, or being settled. */
  isRunning(requestKey: string): boolean {
    return (
      this.answers.find(requestKey)?.state === 'running' ||
      this.services.isRunning(requestKey) ||
      this.settler.isSettling(requestKey)
    );
  }

  /** Own requests in flight at a backend server. */
  inFlightAt(backend: string): number {
    return this.selector.inFlight(backend);
  }

  /** Whether failures keep a backend server from getting work. */
  isEjected(backend: string): boolean {
    return this.selector.isEjected(backend);
  }

  /** The kept answer of a finished request, for another instance. */
  keptAnswer(requestKey: string): StoredAnswer | undefined {
    const answer = this.answers.find(requestKey);
    if (answer?.state !== 'complete' || answer.head === undefined) {
      return undefined;
    }
    return {...answer.head, body: answer.text()};
  }

  /** Adds the callers' routes to a server. */
  async addRoutes(server: FastifyInstance): Promise<void> {
    await addCallerRoutes(server, {
      dependencies: this.dependencies,
      explanations: this.explanations,
      chat: this.chat,
      services: this.services,
      isServing: () => this.serving,
    });
  }

  /** Starts to follow what the directory learns. */
  start(): void {
    this.refresh = setInterval(() => {
      this.selector.refresh();
      this.dependencies.metrics.gauge('requests.in_flight', this.inFlight);
    }, refreshMilliseconds);
  }

  /** Takes no new requests from now on. */
  stopAccepting(): void {
    this.serving = false;
  }

  /**
   * Waits until all requests have ended and are settled.
   *
   * @returns What was cut off at the deadline.
   */
  async drain(
    milliseconds: number,
  ): Promise<{requests: number; settlements: number}> {
    const {now} = this.dependencies;
    const deadline = now() + milliseconds;
    while (this.inFlight > 0 && now() < deadline) {
      await pause(drainPollMilliseconds);
    }
    const requests = this.inFlight;
    const settlements = await this.settler.drain(Math.max(0, deadline - now()));
    return {requests, settlements};
  }

  /** Closes the connections to backend servers. */
  async close(): Promise<void> {
    clearInterval(this.refresh);
    await this.dispatcher.destroy();
  }
}
