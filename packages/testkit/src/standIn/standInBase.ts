/**
 * @fileoverview Base class of the stand-ins: HTTP server, record of calls,
 * announcements, simulated failures, and graceful shutdown.
 */
import {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {type Announcement} from '@dogwoodtrestle/schema';
import {
  fastify,
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from 'fastify';
import {request} from 'undici';

import {
  type ControlMessage,
  type FailureMode,
  type ReceivedCall,
  type StandInOptions,
} from './options.js';

type ServiceDescription = NonNullable<Announcement['service']>;

/** Fields of an announcement that depend on the kind of stand-in. */
export interface BackendDescription {
  kind: Announcement['kind'];
  models?: Array<{name: string; adapters: string[]}>;
  service?: ServiceDescription;
  features?: Partial<Announcement['features']>;
}

const announceTimeoutMilliseconds = 900;
const drainPollMilliseconds = 20;

/** Base class of the stand-in backend servers. */
export abstract class StandInBase {
  readonly server: FastifyInstance = fastify({
    forceCloseConnections: true,
    bodyLimit: 16 * 1024 * 1024,
  });
  readonly calls: ReceivedCall[] = [];
  protected running = 0;
  private readonly incarnation = Date.now();
  private sequence = 0;
  private state: 'serving' | 'leaving' = 'serving';
  private failure: FailureMode = {kind: 'none'};
  private remainingFailures = Infinity;
  private timer: NodeJS.Timeout | undefined;

  protected constructor(readonly options: StandInOptions) {
    this.server.post('/control', request => {
      this.control(request.body as ControlMessage);
      return {};
    });
    this.server.get('/control/calls', () => this.calls);
  }

  /** Returns the fields of the announcements that this kind of stand-in adds. */
  protected abstract describe(): BackendDescription;

  /** Base URL of the server. */
  get url(): string {
    const {port} = this.server.server.address() as AddressInfo;
    return `http://${this.options.host}:${port}`;
  }

  /** Starts listening and announces itself periodically. */
  async start(): Promise<void> {
    const {host, port} = this.options;
    await this.server.listen({host, port});
    this.timer = setInterval(
      () => void this.announce(),
      this.options.announceEveryMilliseconds,
    );
    void this.announce();
  }

  /** Announces `leaving`, waits for running calls to finish, then closes. */
  async leave(): Promise<void> {
    this.control({state: 'leaving'});
    await sleep(this.options.leaveMilliseconds);
    while (this.running > 0) await sleep(drainPollMilliseconds);
    await this.stop();
  }

  /** Closes without waiting for running calls. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.server.close();
  }

  /** Changes failure mode, token delay, routers or state at run time. */
  control(message: ControlMessage): void {
    if (message.failure !== undefined) {
      this.failure = message.failure;
      this.remainingFailures = message.times ?? Infinity;
    }
    this.options.tokenDelayMilliseconds =
      message.tokenDelayMilliseconds ?? this.options.tokenDelayMilliseconds;
    this.options.routers = message.routers ?? this.options.routers;
    if (message.state !== undefined) {
      this.state = message.state;
      void this.announce();
    }
  }

  /** Records a call, and returns its attempt id and the failure to simulate. */
  protected recordCall(request: FastifyRequest): {
    attempt: string;
    failure: FailureMode;
  } {
    const header = (name: string) => String(request.headers[name] ?? '');
    const attempt = header('x-attempt-id');
    this.calls.push({
      at: Date.now(),
      method: request.method,
      path: request.url,
      attempt,
      priority: header('x-priority'),
      state: this.state,
    });
    return {attempt, failure: this.consumeFailure()};
  }

  /** Counts a call as running until the work has ended. */
  protected async countWhileRunning<T>(work: () => Promise<T>): Promise<T> {
    this.running++;
    try {
      return await work();
    } finally {
      this.running--;
    }
  }

  /** Closes the connection of a call without a response. */
  protected drop(request: FastifyRequest, reply: FastifyReply): void {
    reply.hijack();
    request.raw.socket.destroy();
  }

  private consumeFailure(): FailureMode {
    if (this.failure.kind === 'none' || this.remainingFailures <= 0) {
      return {kind: 'none'};
    }
    this.remainingFailures--;
    return this.failure;
  }

  private async announce(): Promise<void> {
    const {name, failureDomain, capacity} = this.options;
    const body = JSON.stringify({
      name,
      incarnation: this.incarnation,
      sequence: ++this.sequence,
      state: this.state,
      url: this.url,
      failureDomain,
      load: {running: this.running, queued: 0, capacity},
      ...this.describe(),
    });
    await Promise.allSettled(
      this.options.routers.map(router => this.sendAnnouncement(router, body)),
    );
  }

  private async sendAnnouncement(router: string, body: string): Promise<void> {
    const response = await request(`${router}/v1/announcements`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${this.options.key}`,
      },
      body,
      signal: AbortSignal.timeout(announceTimeoutMilliseconds),
    });
    await response.body.dump();
  }
}
