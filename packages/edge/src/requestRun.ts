/**
 * @fileoverview One request of a caller, from its whole body to its final
 * answer.
 *
 * The run reserves what the request can cost, sends it to one server after
 * another as its kind and the budgets allow, and relays the answer. A request
 * that may run once at most is repeated only while no server can have run it.
 */
import {
  type Reservation,
  type ResponseTimes,
  type ServerSignal,
} from '@dogwoodtrestle/fleet';

import {type AnswerEnd, judgeEnd, promisesNotRun} from './answerEnd.js';
import {Attempt, type AttemptFailure} from './attempt.js';
import {type CallerExchange} from './callerExchange.js';
import {type EdgeContext} from './edgeContext.js';
import {EventScanner} from './eventScanner.js';
import {refusalByServers, type RefusalReason, returnAfter} from './refusal.js';
import {reportEnd, type RequestEnd} from './requestReport.js';
import {type RequestRunInput} from './requestInput.js';
import {coverRequest, needOf} from './reservationDesk.js';
import {type PooledServer} from './serverPool.js';
import {createProgress, type ServerProgress} from './serverProgress.js';
import {selectServer} from './serverSelection.js';
import {watchSilence} from './silenceWatch.js';
import {usedTokens} from './usedTokens.js';
import {type AnswerHead, emptyHead} from './wireCodec.js';

/** Failures to connect that are made up for in one run. */
const maxUnsentAttempts = 4;

/** Least time for which it is worth sending a request, in milliseconds. */
const leastTimeMilliseconds = 20;

/** Bytes of an answer that is held back until it is whole. */
const maxHeldBytes = 256 * 1024;

/**
 * Time for which the word of a server is awaited that was left: half of that in
 * which it must stop its work, and many round trips.
 */
const lastWordMilliseconds = 250;

const leastUrgency = 9;

/** A server's whole answer; a failure is kept in case no other does better. */
interface HeldAnswer {
  status: number;
  head: AnswerHead;
  body: Buffer;
}

/** Carries one request through. */
export class RequestRun {
  private readonly deadline: number;
  private readonly isRepeatable: boolean;
  private readonly isStream: boolean;
  private readonly promptTokens: number;
  private readonly tried = new Set<string>();
  private readonly triedAddresses: string[] = [];
  private progress?: ServerProgress;
  private reservation?: Reservation;
  /** Gives the request's place at this router back. */
  private release?: () => void;
  private sends = 0;
  private unsent = 0;
  private hasRun = false;
  private events = 0;
  private lastEventId?: string;
  private failedAnswer?: HeldAnswer;
  private firstEventAt?: number;
  private isOver = false;
  /** Whether a server that was left may still say that it ran the request. */
  private awaitsWord = false;
  private cancelTimers: Array<() => void> = [];

  private readonly endHandlers: Record<
    AnswerEnd,
    (answer: HeldAnswer) => void
  > = {
    whole: ({status}) => {
      this.conclude('delivered', status);
      this.exchange.end();
    },
    held: answer => this.receiveHeldAnswer(answer),
    insideEvent: () => this.afterUnknown('stream ended inside an event'),
    notResumed: ({status}) => this.afterUnknown(`not resumed: ${status}`),
    unknown: () => this.fail('outcomeUnknown'),
  };

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
    this.promptTokens = request.generation?.promptTokens ?? 0;
    this.isRepeatable =
      route.kind === 'idempotent' || (this.isStream && route.isResumable);
  }

  async start(): Promise<void> {
    const {admission, clock, options, retryBudget} = this.context;
    retryBudget.recordRequest(this.input.service, clock.now());
    this.exchange.onGone(() => this.callerLeft());
    const timer = clock.setTimer(this.deadline - clock.now(), () =>
      this.timeOut(),
    );
    this.cancelTimers.push(timer);
    this.release = admission.take(this.input.workspace?.name ?? '');
    if (this.release === undefined) {
      this.refuse('routerBusy', returnAfter('routerBusy', options.random));
      return;
    }
    const refusal = await this.reserve();
    if (this.isOver) return;
    if (refusal !== undefined) this.refuse(refusal);
    else this.sendNext();
  }

  /** Covers the most that the request can cost. */
  private async reserve(): Promise<RefusalReason | undefined> {
    const need = needOf(this.input);
    if (need === undefined) return undefined;
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
      this.failForServers('noServer', now);
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
    const progress = createProgress(server, now);
    this.progress = progress;
    if (server.openRequests === 0) server.waitingSince = now;
    server.openRequests++;
    server.unreadTokens += this.promptTokens;
    server.bar.begin(progress, now);
    const isCurrent = () => this.progress === progress && !this.isOver;
    progress.attempt = new Attempt(
      {
        request,
        body,
        headers,
        server,
        codec: options.codec,
        now: () => clock.now(),
        onNews: news => this.noteNews(progress, news),
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

  private noteNews(progress: ServerProgress, news: ServerSignal): void {
    const {pool, clock} = this.context;
    const {attemptId} = this.input.request;
    pool.note(progress.server, progress, attemptId, news, clock.now());
  }

  private receiveHead(
    progress: ServerProgress,
    status: number,
    head: AnswerHead,
  ): void {
    progress.status = status;
    progress.head = head;
    this.hasRun = true;
    if (!this.isStream) {
      const now = this.context.clock.now();
      progress.progressAt = now;
      this.responseTimes.observe(0, now - progress.startedAt);
    }
    if (!this.isStream || status >= 300) return;
    const known = this.lastEventId ?? undefined;
    progress.scanner = new EventScanner(
      known === undefined ? undefined : Number(known),
    );
    progress.isPassedOn = true;
    if (!this.exchange.isStarted) this.exchange.start(head, status);
  }

  /** Returns false to pause the server. */
  private receiveData(progress: ServerProgress, chunk: Buffer): boolean {
    if (progress.scanner !== undefined) {
      return this.relayEvents(progress, progress.scanner, chunk);
    }
    progress.progressAt = this.context.clock.now();
    if (progress.isPassedOn) return this.write(progress, chunk);
    // Instead of going on with a stream the server answers something else.
    if (this.exchange.isStarted) return true;
    progress.held.push(chunk);
    progress.heldBytes += chunk.length;
    if (progress.heldBytes <= maxHeldBytes) return true;
    progress.isPassedOn = true;
    this.exchange.start(progress.head ?? emptyHead, progress.status);
    const held = Buffer.concat(progress.held);
    progress.held = [];
    return this.write(progress, held);
  }

  private relayEvents(
    progress: ServerProgress,
    scanner: EventScanner,
    chunk: Buffer,
  ): boolean {
    const {data, count} = scanner.push(chunk);
    this.lastEventId = scanner.lastEventId ?? this.lastEventId;
    if (count === 0) return true;
    const now = this.context.clock.now();
    this.events += count;
    progress.progressAt = now;
    if (!progress.hasFirstEvent) {
      progress.hasFirstEvent = true;
      progress.server.unreadTokens -= this.promptTokens;
      this.responseTimes.observe(this.promptTokens, now - progress.startedAt);
      this.firstEventAt ??= now;
    }
    return this.write(progress, data);
  }

  private write(progress: ServerProgress, data: Buffer): boolean {
    return this.exchange.write(data, () => progress.attempt?.resume());
  }

  private receiveEnd(progress: ServerProgress): void {
    const {status, head = emptyHead, held, scanner} = progress;
    this.leaveServer(progress, status >= 500 ? 'failure' : 'success');
    const end = judgeEnd({
      status,
      isPassedOn: progress.isPassedOn,
      isInsideEvent: scanner?.isInsideEvent ?? false,
      isUnframed: head.isUnframed,
      isCallerStarted: this.exchange.isStarted,
      isCallerUnframed: this.exchange.isStartedUnframed,
    });
    this.endHandlers[end]({status, head, body: Buffer.concat(held)});
  }

  /** A server's whole answer that the caller has nothing of yet. */
  private receiveHeldAnswer(answer: HeldAnswer): void {
    const {status} = answer;
    if (!promisesNotRun(status)) this.failedAnswer = answer;
    const mayRepeat = status >= 500 && this.isRepeatable;
    if (mayRepeat && this.tryRepeat(`server answered ${status}`)) return;
    if (promisesNotRun(status)) this.fail('outcomeUnknown');
    else this.deliver(answer);
  }

  private receiveFailure(
    progress: ServerProgress,
    failure: AttemptFailure,
  ): void {
    const {pool, clock} = this.context;
    const {record} = progress.server;
    this.log('attempt failed', {server: record.id, failure});
    switch (failure.kind) {
      case 'notSent':
        this.leaveServer(progress);
        this.sends--;
        if (++this.unsent < maxUnsentAttempts) this.sendNext();
        else this.failForServers('noServer', clock.now());
        return;
      case 'notExecuted':
        this.leaveServer(progress, 'success');
        if (failure.status === 421) pool.replaced(progress.server);
        if (this.tryRepeat(`server refused with ${failure.status}`)) return;
        this.failForServers('serversRefused', clock.now());
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
    if (!retryBudget.takeRetry(service, link.routerCount, now)) {
      metrics.repeats.add({service, outcome: 'overBudget'});
      return false;
    }
    metrics.repeats.add({service, outcome: 'sent'});
    this.log('repeating', {reason, lastEventId: this.lastEventId});
    this.sendTo(server, now);
    return true;
  }

  /** Goes elsewhere when the server makes no progress. */
  private watchSilence(progress: ServerProgress): void {
    const {clock, options} = this.context;
    const {server} = progress;
    const stateOf = () => {
      if (this.isOver || this.progress !== progress) return undefined;
      if (this.sends >= this.input.route.maxAttempts) return undefined;
      const now = clock.now();
      return {
        silence: now - progress.progressAt,
        serverSilence: now - server.lastByteAt,
        hasFirstEvent: progress.hasFirstEvent,
        patience: this.responseTimes.firstEventTimeout(this.promptTokens),
        gapLimit: options.repeatAfterMilliseconds,
        timeLeft: this.deadline - now,
      };
    };
    const cancel = watchSilence(clock, stateOf, state => {
      const isAlive = state.serverSilence < state.silence;
      if (!state.hasFirstEvent && isAlive) {
        this.responseTimes.observe(this.promptTokens, state.silence);
      }
      this.leaveServer(progress, 'failure');
      progress.attempt?.abort();
      this.hasRun = true;
      this.log('server is silent', {server: server.record.id, ...state});
      this.afterUnknown('server is silent');
    });
    this.cancelTimers.push(cancel);
  }

  private get responseTimes(): ResponseTimes {
    return this.context.pool.responseTimes(this.input.service);
  }

  private leaveServer(
    progress: ServerProgress,
    outcome?: 'success' | 'failure',
  ): void {
    if (this.progress !== progress) return;
    this.progress = undefined;
    const {server, hasFirstEvent} = progress;
    const now = this.context.clock.now();
    server.openRequests--;
    server.waitingSince = server.openRequests === 0 ? Infinity : now;
    if (!hasFirstEvent) server.unreadTokens -= this.promptTokens;
    this.noteNews(progress, {kind: 'ended'});
    if (outcome !== undefined) this.context.pool.record(server, outcome, now);
  }

  private deliver({status, head, body}: HeldAnswer): void {
    this.conclude('delivered', status);
    this.exchange.answer(head, status, body);
  }

  /** Gives up with the best answer that is true. */
  private fail(reason: RefusalReason, retryAfterSeconds?: number): void {
    if (this.exchange.isStarted) {
      this.conclude('brokenOff', 0, reason);
      this.exchange.breakOff();
      return;
    }
    if (this.failedAnswer !== undefined) {
      this.deliver(this.failedAnswer);
      return;
    }
    if (this.hasRun) this.refuse('outcomeUnknown');
    else this.refuse(reason, retryAfterSeconds);
  }

  /** Gives up as no server takes the request; says when one may. */
  private failForServers(reason: RefusalReason, now: number): void {
    const {pool, options} = this.context;
    const wait = pool.waitFor(this.input.service, now);
    const refusal = refusalByServers(reason, wait, options.random);
    this.fail(refusal.reason, refusal.retryAfterSeconds);
  }

  private refuse(reason: RefusalReason, retryAfterSeconds?: number): void {
    this.conclude('refused', 0, reason);
    this.exchange.refuse(reason, retryAfterSeconds);
  }

  private timeOut(): void {
    if (this.isOver) return;
    this.abandon();
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

  /** Leaves the server, if the request is at one. */
  private abandon(): void {
    const {progress, reservation, hasRun} = this;
    if (progress === undefined) return;
    const {attempt, server} = progress;
    this.leaveServer(progress);
    if (attempt?.mayHaveBeenSent !== true) {
      attempt?.abort();
      return;
    }
    this.hasRun = true;
    if (hasRun || reservation === undefined) {
      attempt.abort();
      return;
    }
    const {clock} = this.context;
    this.awaitsWord = true;
    attempt.leave({clock, milliseconds: lastWordMilliseconds}, hasRun => {
      this.awaitsWord = false;
      this.hasRun = hasRun;
      const usedTokens = this.settle();
      const {id} = server.record;
      this.log('left a server', {server: id, hasRun, usedTokens});
    });
  }

  private conclude(
    outcome: RequestEnd['outcome'],
    status: number,
    reason?: RefusalReason,
  ): void {
    this.isOver = true;
    for (const cancel of this.cancelTimers) cancel();
    this.cancelTimers = [];
    // The server's last word decides whether the prompt counts.
    const usedTokens = this.awaitsWord ? undefined : this.settle();
    this.release?.();
    this.onOver();
    const {firstEventAt, events, triedAddresses: servers} = this;
    reportEnd(this.context, this.input, {
      outcome,
      status,
      reason,
      firstEventAt,
      events,
      servers,
      usedTokens,
    });
  }

  /** Settles what was used, and returns it. */
  private settle(): number | undefined {
    const {reservation} = this;
    const {generation} = this.input.request;
    if (reservation === undefined || generation === undefined) return undefined;
    const {grants, routes} = this.context;
    const engine = routes()?.service(this.input.service)?.engine;
    const {hasRun: mayHaveRun, events} = this;
    const {tokensPerEvent} = engine ?? {};
    const used = usedTokens({generation, mayHaveRun, events, tokensPerEvent});
    grants.settle(reservation, used);
    return used;
  }

  private log(message: string, fields: object): void {
    const {attemptId} = this.input.request;
    this.context.logger.info({request: attemptId, ...fields}, message);
  }
}
