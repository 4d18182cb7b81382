/**
 * @fileoverview What every stand-in shares: the HTTP server, the log of calls,
 * announcements, failures set at run time, and a graceful end.
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

type ServiceOffer = NonNullable<Announcement['service']>;

/** What one kind of stand-in says of itself in an announcement. */
export interface Offer {
  kind: Announcement['kind'];
  models?: Array<{name: string; adapters: string[]}>;
  service?: ServiceOffer;
  features?: Partial<Announcement['features']>;
}

const announceTimeoutMilliseconds = 900;
const drainPollMilliseconds = 20;

/** Base of the stand-in backend servers. */
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
  private failuresLeft = Infinity;
  private timer: NodeJS.Timeout | undefined;

  protected constructor(readonly options: StandInOptions) {
    this.server.post('/control', request => {
      this.control(request.body as ControlMessage);
      return {};
    });
    this.server.get('/control/calls', () => this.calls);
  }

  protected abstract offer(): Offer;

  /** Base URL of the server. */
  get url(): string {
    const {port} = this.server.server.address() as AddressInfo;
    return `http://${this.options.host}:${port}`;
  }

  /** Listens and starts to announce itself. */
  async start(): Promise<void> {
    const {host, port} = this.options;
    await this.server.listen({host, port});
    this.timer = setInterval(
      () => void this.announce(),
      this.options.announceEveryMilliseconds,
    );
    void this.announce();
  }

  /** Announces `leaving`, lets running calls finish, then closes. */
  async leave(): Promise<void> {
    this.control({state: 'leaving'});
    await sleep(this.options.leaveMilliseconds);
    while (this.running > 0) await sleep(drainPollMilliseconds);
    await this.stop();
  }

  /** Closes at once. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.server.close();
  }

  /** Changes failures, delays, receivers or state at run time. */
  control(message: ControlMessage): void {
    if (message.failure !== undefined) {
      this.failure = message.failure;
      this.failuresLeft = message.times ?? Infinity;
    }
    this.options.tokenDelayMilliseconds =
      message.tokenDelayMilliseconds ?? this.options.tokenDelayMilliseconds;
    this.options.routers = message.routers ?? this.options.routers;
    if (message.state !== undefined) {
      this.state = message.state;
      void this.announce();
    }
  }

  /** Logs a call and returns its attempt id and the failure it shows. */
  protected receive(request: FastifyRequest): {
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
    return {attempt, failure: this.takeFailure()};
  }

  /** Counts a call as running until the work ends. */
  protected async whileRunning<T>(work: () => Promise<T>): Promise<T> {
    this.running++;
    try {
      return await work();
    } finally {
      this.running--;
    }
  }

  /** Closes the connection of a call without an answer. */
  protected drop(request: FastifyRequest, reply: FastifyReply): void {
    reply.hijack();
    request.raw.socket.destroy();
  }

  private takeFailure(): FailureMode {
    if (this.failure.kind === 'none' || this.failuresLeft <= 0) {
      return {kind: 'none'};
    }
    this.failuresLeft--;
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
      ...this.offer(),
    });
    await Promise.allSettled(
      this.options.routers.map(router => this.post(router, body)),
    );
  }

  private async post(router: string, body: string): Promise<void> {
    const answer = await request(`${router}/v1/announcements`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${this.options.key}`,
      },
      body,
      signal: AbortSignal.timeout(announceTimeoutMilliseconds),
    });
    await answer.body.dump();
  }
}
