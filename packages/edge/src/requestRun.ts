/**
 * @fileoverview One request of a caller, from its whole body to its final
 * answer.
 *
 * The run reserves what the request can cost, sends it to one server after
 * another as its kind and the budgets allow, and relays the answer. A request
 * that may run once at most is repeated only while no server can have run it.
 */
import {type Reservation} from '@dogwoodtrestle/fleet';
import {type FleetRoute, type FleetWorkspace} from '@dogwoodtrestle/schema';

import {Attempt, type AttemptFailure} from './attempt.js';
import {type CallerExchange} from './callerExchange.js';
import {type EdgeContext} from './edgeContext.js';
import {EventScanner} from './eventScanner.js';
import {type RefusalReason} from './refusal.js';
import {coverRequest} from './reservationDesk.js';
import {type PooledServer} from './serverPool.js';
import {selectServer} from './serverSelection.js';
import {type AnswerHead, type CallerRequest} from './wireCodec.js';

/** What a run is made of. */
export interface RequestRunInput {
  request: CallerRequest;
  body: Buffer;
  route: FleetRoute;
  service: string;
  workspace?: FleetWorkspace;
  /** Version of the configuration that the route is from. */
  configurationVersion: number;
  /** Monotonic time at which the head of the request was read. */
  receivedAt: number;
}

/** Failures to connect that are made up for in one run. */
const maxUnsentAttempts = 4;

/** Least time for which it is worth sending a request, in milliseconds. */
const leastTimeMilliseconds = 20;

/** Bytes of an answer that is held back until it is whole. */
const maxHeldBytes = 256 * 1024;

/** Interval at which a run looks for silence of its server. */
const silenceCheckMilliseconds = 150;

const leastUrgency = 9;

/** A server's whole failure, kept in case no other server does better. */
interface FailedAnswer {
  status: number;
  head: AnswerHead;
  body: Buffer;
}

/** State of the attempt in progress. */
interface Progress {
  server: PooledServer;
  attempt?: Attempt;
  startedAt: number;
  lastDataAt: number;
  status: number;
  head?: AnswerHead;
  held: Buffer[];
  heldBytes: number;
  scanner?: EventScanner;
  hasFirstEvent: boolean;
}

/** Carries one request through. */
export class RequestRun {
  private readonly deadline: number;
  private readonly isRepeatable: boolean;
  private readonly isStream: boolean;
  private readonly tried = new Set<string>();
  private readonly triedAddresses: string[] = [];
  private progress?: Progress;
  private reservation?: Reservation;
  private sends = 0;
  private unsent = 0;
  private hasRun = false;
  private events = 0;
  private lastEventId?: string;
  private failedAnswer?: FailedAnswer;
  private firstEventAt?: number;
  private isOver = false;
  private cancelTimers: Array<() => void> = [];

  constructor(
    private readonly context: EdgeContext,
    private readonly input: RequestRunInput,
    private readonly exchange: CallerExchange,
    private readonly onOver: () => void,
  ) {
    const {route, request, receivedAt} = input;
    const remaining = request.timeRemainingMilliseconds ?? Infinity;
    this.deadline = receivedAt + Math.min(route.timeoutMilliseconds, remaining);
    this.isStream = route.kind === 'streaming';
    this.isRepeatable =
      route.kind === 'idempotent' || (this.isStream && route.isResumable);
  }

  async start(): Promise<void> {
    const {clock, retryBudget} = this.context;
    retryBudget.recordRequest(this.input.service, clock.now());
    this.exchange.onGone(() => this.callerLeft());
    const timer = clock.setTimer(this.deadline - clock.now(), () =>
      this.timeOut(),
    );
    this.cancelTimers.push(timer);
    const refusal = await this.reserve();
    if (this.isOver) return;
    if (refusal !== undefined) this.refuse(refusal);
    else this.sendNext();
  }

  /** Covers the most that the request can cost. */
  private async reserve(): Promise<RefusalReason | undefined> {
    const {workspace, request} = this.input;
    const {generation} = request;
    if (workspace?.prepaidTokens === undefined || generation === undefined) {
      return undefined;
    }
    const tokens = generation.promptTokens + generation.maxOutputTokens;
    const need = {
      workspace: workspace.name,
      tokens,
      request: request.attemptId,
    };
    const cover = await coverRequest(this.context, need, () => this.isOver);
    if ('refusal' in cover) return cover.refusal;
    this.reservation = cover.reservation;
    if (this.isOver) this.settle();
    return undefined;
  }

  private sendNext(): void {
    const now = this.context.clock.now();
    if (this.deadline - now < leastTimeMilliseconds) {
      this.fail('outOfTime');
      return;
    }
    const server = this.choose(now);
    if (server === undefined) {
      this.fail('noServer');
      return;
    }
    this.sendTo(server, now);
  }

  private choose(now: number): PooledServer | undefined {
    const {service, request} = this.input;
    const {generation} = request;
    const demand = {service, generation, tried: this.tried};
    return selectServer(this.context, demand, now);
  }

  private sendTo(server: PooledServer, now: number): void {
    const {options, clock} = this.context;
    const {request, body, route, workspace} = this.input;
    const {record} = server;
    this.tried.add(record.id);
    this.triedAddresses.push(`${record.id}@${record.address}`);
    this.sends++;
    const priority = workspace?.priority ?? route.priority;
    const headers = options.codec.encodeForward(request, {
      server: record,
      timeRemainingMilliseconds: Math.floor(this.deadline - now),
      workspace: workspace?.name,
      urgency: Math.min(leastUrgency, Math.max(0, priority)),
      lastEventId: this.lastEventId ?? request.lastEventId,
    });
    const progress: Progress = {
      server,
      startedAt: now,
      lastDataAt: now,
      status: 0,
      held: [],
      heldBytes: 0,
      hasFirstEvent: false,
    };
    this.progress = progress;
    if (server.openRequests === 0) server.waitingSince = now;
    server.openRequests++;
    server.unreadTokens += this.promptTokens;
    const isCurrent = () => this.progress === progress && !this.isOver;
    progress.attempt = new Attempt(
      {
        request,
        body,
        headers,
        server,
        codec: options.codec,
        now: () => clock.now(),
      },
      {
        onHead: (status, head) => {
          if (isCurrent()) this.receiveHead(progress, status, head);
        },
        onData: chunk => !isCurrent() || this.receiveData(progress, chunk),
        onEnd: () => {
          if (isCurrent()) this.receiveEnd(progress);
        },
        onFailed: failure => {
          if (isCurrent()) this.receiveFailure(progress, failure);
        },
      },
    );
    if (this.isRepeatable) this.watchSilence(progress);
  }

  private get promptTokens(): number {
    return this.input.request.generation?.promptTokens ?? 0;
  }

  private receiveHead(
    progress: Progress,
    status: number,
    head: AnswerHead,
  ): void {
    progress.status = status;
    progress.head = head;
    progress.lastDataAt = this.context.clock.now();
    this.hasRun = true;
    if (!this.isStream || status >= 300) return;
    const known = this.lastEventId ?? undefined;
    progress.scanner = new EventScanner(
      known === undefined ? undefined : Number(known),
    );
    if (!this.exchange.isStarted) {
      this.exchange.start(head, status);
    }
  }

  /** Returns false to pause the server. */
  private receiveData(progress: Progress, chunk: Buffer): boolean {
    progress.lastDataAt = this.context.clock.now();
    if (progress.scanner !== undefined) {
      return this.relayEvents(progress, progress.scanner, chunk);
    }
    if (this.exchange.isStarted) return this.write(progress, chunk);
    progress.held.push(chunk);
    progress.heldBytes += chunk.length;
    if (progress.heldBytes <= maxHeldBytes) return true;
    this.exchange.start(progress.head ?? emptyHead, progress.status);
    const held = Buffer.concat(progress.held);
    progress.held = [];
    return this.write(progress, held);
  }

  private relayEvents(
    progress: Progress,
    scanner: EventScanner,
    chunk: Buffer,
  ): boolean {
    const {data, count} = scanner.push(chunk);
    this.lastEventId = scanner.lastEventId ?? this.lastEventId;
    if (count === 0) return true;
    this.events += count;
    if (!progress.hasFirstEvent) {
      progress.hasFirstEvent = true;
      progress.server.unreadTokens -= this.promptTokens;
      this.firstEventAt ??= this.context.clock.now();
    }
    return this.write(progress, data);
  }

  private write(progress: Progress, data: Buffer): boolean {
    return this.exchange.write(data, () => progress.attempt?.resume());
  }

  private receiveEnd(progress: Progress): void {
    const {status, head, held, scanner} = progress;
    const isServerFailure = status >= 500;
    this.leaveServer(progress, isServerFailure ? 'failure' : 'success');
    if (scanner?.isInsideEvent === true) {
      this.afterUnknown('stream ended inside an event');
      return;
    }
    if (this.exchange.isStarted) {
      if (scanner === undefined && status >= 500) {
        // The stream went on at a server that failed.
        this.afterUnknown('server failed to resume the stream');
        return;
      }
      if (head?.isUnframed === true && !this.exchange.isStartedUnframed) {
        // Whether the resumed stream is whole can't be known.
        this.fail('outcomeUnknown');
        return;
      }
      this.conclude('delivered', status);
      this.exchange.end();
      return;
    }
    const answer = {
      status,
      head: head ?? emptyHead,
      body: Buffer.concat(held),
    };
    // Statuses that promise "not run" may not be passed on for what ran.
    const isFalsePromise = promisingStatuses.has(status);
    if (!isFalsePromise) this.failedAnswer = answer;
    const mayRepeat = isServerFailure && this.isRepeatable;
    if (mayRepeat && this.tryRepeat(`server answered ${status}`)) return;
    if (isFalsePromise) this.fail('outcomeUnknown');
    else this.deliver(answer);
  }

  private receiveFailure(progress: Progress, failure: AttemptFailure): void {
    const {pool} = this.context;
    const {record} = progress.server;
    this.log('attempt failed', {server: record.id, failure});
    switch (failure.kind) {
      case 'notSent':
        this.leaveServer(progress, 'unreachable');
        this.sends--;
        if (++this.unsent >= maxUnsentAttempts) this.fail('noServer');
        else this.sendNext();
        return;
      case 'notExecuted':
        this.leaveServer(progress, 'success');
        if (failure.status === 421) pool.replaced(progress.server);
        if (this.tryRepeat(`server refused with ${failure.status}`)) return;
        this.fail('serversRefused');
        return;
      case 'unknown':
        this.hasRun = true;
        progress.server.lastByteAt = Math.max(
          progress.server.lastByteAt,
          progress.startedAt,
        );
        this.leaveServer(progress, 'failure');
        this.afterUnknown(failure.reason);
    }
  }

  /** Goes on elsewhere, or gives up on a request that may have run. */
  private afterUnknown(reason: string): void {
    if (this.isRepeatable && this.tryRepeat(reason)) return;
    this.fail('outcomeUnknown');
  }

  /** Sends once more where the route and the fleet's budget allow it. */
  private tryRepeat(reason: string): boolean {
    const {retryBudget, link, clock, metrics} = this.context;
    const {route, service} = this.input;
    const now = clock.now();
    if (this.sends >= route.maxAttempts) return false;
    if (this.deadline - now < leastTimeMilliseconds) return false;
    const server = this.choose(now);
    if (server === undefined) return false;
    if (!retryBudget.takeRepeat(service, link.routerCount, now)) {
      metrics.repeats.add({service, outcome: 'overBudget'});
      return false;
    }
    metrics.repeats.add({service, outcome: 'sent'});
    this.log('repeating', {reason, lastEventId: this.lastEventId});
    this.sendTo(server, now);
    return true;
  }

  /** Looks for a server that went silent while others answer. */
  private watchSilence(progress: Progress): void {
    const {clock, options} = this.context;
    const check = () => {
      if (this.isOver || this.progress !== progress) return;
      const now = clock.now();
      const silence = now - progress.lastDataAt;
      const limit = options.repeatAfterMilliseconds;
      const {server} = progress;
      const isDark = now - server.lastByteAt > limit / 2;
      const isLong = silence > limit && (isDark || silence > 2 * limit);
      const isWorthIt =
        this.sends < this.input.route.maxAttempts &&
        this.deadline - now > limit / 2;
      if (isLong && isWorthIt) {
        this.leaveServer(progress, 'failure');
        progress.attempt?.abort();
        this.hasRun = true;
        this.log('server is silent', {server: server.record.id, silence});
        this.afterUnknown('server is silent');
        return;
      }
      this.cancelTimers.push(clock.setTimer(silenceCheckMilliseconds, check));
    };
    this.cancelTimers.push(clock.setTimer(silenceCheckMilliseconds, check));
  }

  private leaveServer(
    progress: Progress,
    outcome?: 'success' | 'failure' | 'unreachable',
  ): void {
    if (this.progress !== progress) return;
    this.progress = undefined;
    const {server, hasFirstEvent} = progress;
    const now = this.context.clock.now();
    server.openRequests--;
    server.waitingSince = server.openRequests === 0 ? Infinity : now;
    if (!hasFirstEvent) server.unreadTokens -= this.promptTokens;
    if (outcome !== undefined) this.context.pool.record(server, outcome, now);
  }

  private deliver({status, head, body}: FailedAnswer): void {
    this.conclude('delivered', status);
    this.exchange.answer(head, status, body);
  }

  /** Gives up with the best answer that is true. */
  private fail(reason: RefusalReason): void {
    if (this.exchange.isStarted) {
      this.conclude('brokenOff', 0, reason);
      this.exchange.breakOff();
      return;
    }
    if (this.failedAnswer !== undefined) {
      this.deliver(this.failedAnswer);
      return;
    }
    this.refuse(this.hasRun ? 'outcomeUnknown' : reason);
  }

  private refuse(reason: RefusalReason): void {
    this.conclude('refused', 0, reason);
    this.exchange.refuse(reason);
  }

  private timeOut(): void {
    if (this.isOver) return;
    const {progress} = this;
    const isAtServer = progress?.attempt?.mayHaveBeenSent === true;
    this.abandon();
    if (isAtServer) this.hasRun = true;
    if (this.exchange.isStarted) this.fail('timedOut');
    else this.refuse(this.hasRun ? 'timedOut' : 'outOfTime');
  }

  private callerLeft(): void {
    if (this.isOver) return;
    this.abandon();
    this.conclude('callerLeft', 0);
  }

  /** Breaks off what is open, as when the router stops. */
  breakOff(): void {
    if (this.isOver) return;
    if (this.progress?.attempt?.mayHaveBeenSent === true) this.hasRun = true;
    this.abandon();
    this.fail('outcomeUnknown');
  }

  private abandon(): void {
    const {progress} = this;
    if (progress === undefined) return;
    if (progress.attempt?.mayHaveBeenSent === true) this.hasRun = true;
    this.leaveServer(progress);
    progress.attempt?.abort();
  }

  private conclude(
    outcome: 'delivered' | 'refused' | 'brokenOff' | 'callerLeft',
    status: number,
    reason?: RefusalReason,
  ): void {
    this.isOver = true;
    for (const cancel of this.cancelTimers) cancel();
    this.cancelTimers = [];
    this.settle();
    this.onOver();
    const {clock, metrics} = this.context;
    const {route, receivedAt} = this.input;
    const elapsed = clock.now() - receivedAt;
    const labels = {route: route.name, outcome: reason ?? outcome};
    metrics.requests.add(labels);
    metrics.durations.observe(elapsed, {kind: route.kind, outcome});
    this.log('request ended', {
      outcome,
      reason,
      status,
      elapsedMilliseconds: Math.round(elapsed),
      firstEventMilliseconds:
        this.firstEventAt === undefined
          ? undefined
          : Math.round(this.firstEventAt - receivedAt),
      events: this.events,
      servers: this.triedAddresses,
      route: route.name,
      workspace: this.input.workspace?.name,
      promptTokens: this.promptTokens,
      configurationVersion: this.input.configurationVersion,
      controlAgeMilliseconds: Math.round(
        this.context.link.contactAgeMilliseconds,
      ),
    });
  }

  /** Settles what was used; what may have run counts with its prompt. */
  private settle(): void {
    const {reservation} = this;
    const {generation} = this.input.request;
    if (reservation === undefined || generation === undefined) return;
    const {grants, routes} = this.context;
    const shape = routes()?.service(this.input.service)?.engine;
    const tokensPerEvent = shape?.tokensPerEvent ?? generation.maxOutputTokens;
    const used = this.hasRun
      ? generation.promptTokens +
        Math.min(
          generation.maxOutputTokens,
          (this.events + eventsUnderWay) * tokensPerEvent,
        )
      : 0;
    grants.settle(reservation, used);
  }

  private log(message: string, fields: object): void {
    const {attemptId} = this.input.request;
    this.context.logger.info({request: attemptId, ...fields}, message);
  }
}

/** Events that a server may have sent beyond those that arrived. */
const eventsUnderWay = 1;

/** Statuses that promise that a request has not run and never will. */
const promisingStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const emptyHead: AnswerHead = {
  isNotExecuted: false,
  isSigned: false,
  isEncoded: false,
  isUnframed: false,
  headers: [],
};
