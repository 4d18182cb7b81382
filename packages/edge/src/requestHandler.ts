/**
 * @fileoverview Handles one request of a caller: reserves its maximum cost,
 * sends it to a backend server, retries on others, and relays the response.
 *
 * A non-idempotent request is retried only while no server can have run it.
 */
import {type AttemptFailure} from './attempt.js';
import {type AttemptProgress, classifyAttemptEnd} from './attemptProgress.js';
import {type CallerExchange} from './callerExchange.js';
import {type EdgeContext} from './edgeContext.js';
import {OpenAttempts} from './openAttempts.js';
import {
  blockedReason,
  type RefusalReason,
  type TimedRefusal,
} from './refusal.js';
import {RelayedStream} from './relayedStream.js';
import {RequestGuard} from './requestGuard.js';
import {RequestRetries} from './requestRetries.js';
import {
  cancelTimeoutMilliseconds,
  maxConnectFailures,
  minSendTimeMilliseconds,
} from './requestLimits.js';
import {
  recordEndlessResponse,
  recordRequest,
  type RequestSummary,
} from './requestSummary.js';
import {createRequestTerms, type RequestTerms} from './requestTerms.js';
import {RequestWaits} from './requestWaits.js';
import {RequestTokens} from './requestTokens.js';
import {
  type BufferedResponse,
  classifyResponse,
  type CompletionHandlers,
  continuesRequest,
  impliesNotRun,
} from './responseCompletion.js';
import {type EndlessPart, ResponseRelay} from './responseRelay.js';
import {ResponseTimer} from './responseTimer.js';
import {type RoutedRequest} from './routedRequest.js';
import {
  countServerStates,
  refuseWithoutServer,
  type SelectionCriteria,
} from './serverSelection.js';
import {decideTakeUp} from './streamTakeUp.js';
import {emptyResponseHead, type ResponseHead} from './wireCodec.js';

/** Forwards one request and writes its response. */
export class RequestHandler {
  private readonly terms: RequestTerms;
  private readonly timer: ResponseTimer;
  private readonly placements: SelectionCriteria['placements'] = [];
  private readonly attempts: OpenAttempts;
  private readonly retries: RequestRetries;
  private readonly tokens: RequestTokens;
  private readonly guard: RequestGuard;
  private readonly waits: RequestWaits;
  private connectFailures = 0;
  private hasRun = false;
  private readonly stream = new RelayedStream();
  private readonly relay: ResponseRelay;
  private failedResponse?: BufferedResponse;
  private isOver = false;
  /** Whether only a close told the end of the last response. */
  private endedByClose = false;
  /** Whether it is still unknown if a cancelled attempt was executed. */
  private awaitsCancelResult = false;
  private cancelTimers: Array<() => void> = [];

  private readonly completions: CompletionHandlers = {
    complete: ({status}) => {
      this.finish('delivered', status);
      this.exchange.end();
    },
    held: response => this.receiveBuffered(response),
    insideEvent: () => this.handleUnknown('stream ended inside an event'),
    notResumed: ({status}) => this.handleUnknown(`not resumed: ${status}`),
    unknown: () => this.fail('outcomeUnknown'),
  };

  constructor(
    private readonly context: EdgeContext,
    private readonly input: RoutedRequest,
    private readonly exchange: CallerExchange,
    private readonly onFinished: () => void,
  ) {
    this.terms = createRequestTerms(input);
    this.timer = new ResponseTimer(context, input.service, this.terms);
    this.tokens = new RequestTokens(context, input);
    this.guard = new RequestGuard(context, input);
    this.waits = new RequestWaits(context, input);
    const {terms, timer, stream, tokens, guard} = this;
    this.attempts = new OpenAttempts(
      {context, input, terms, timer, guard, stream},
      {
        onHead: (...head) => this.receiveHead(...head),
        onData: (...data) => this.receiveData(...data),
        onEnd: progress => this.receiveEnd(progress),
        onFailed: (...failure) => this.receiveFailure(...failure),
        onCurrent: progress => this.retries.watchForStall(progress),
      },
    );
    const {attempts} = this;
    this.retries = new RequestRetries({
      ...{context, input, terms, timer, guard, stream, attempts, exchange},
      criteria: () => this.criteria,
      onHedge: () => {
        this.hasRun = true;
      },
    });
    this.relay = new ResponseRelay(
      {context, input, terms, timer, stream, tokens, exchange},
      (progress, part) => this.abandonEndless(progress, part),
      progress => this.abandonUndelimited(progress),
    );
  }

  async start(): Promise<void> {
    const {clock, retryBudget} = this.context;
    retryBudget.recordRequest(this.input.service, clock.now());
    this.exchange.onDisconnect(() => this.handleDisconnect());
    const timer = clock.setTimer(this.terms.deadline - clock.now(), () =>
      this.timeOut(),
    );
    this.cancelTimers.push(timer);
    if (this.refuseIfBlocked()) return;
    if (this.context.reach.isMuteTo(this.input.service)) {
      this.refuse('serversUnreached');
      return;
    }
    if (this.terms.isStream && !this.exchange.readsChunks) {
      this.refuse('versionUnsupported');
      return;
    }
    const busy = await this.waits.admit();
    if (this.isOver) return;
    if (busy) return this.refuse(busy.reason, busy.retryAfterSeconds);
    const takeUp = await decideTakeUp(this.context, this.input);
    this.stream.restrictTo(takeUp.softwareVersion);
    const refusal =
      takeUp.refusal ?? (await this.tokens.reserve(() => this.isOver));
    if (this.isOver) {
      this.settle();
      return;
    }
    if (refusal !== undefined) this.refuse(refusal);
    else this.sendNext();
  }

  /** Refuses a request that has crashed servers, or whose prompt has. */
  private refuseIfBlocked(): boolean {
    const subject = this.guard.findBlocked();
    if (subject === undefined) return false;
    this.log('request is blocked', {subject});
    this.fail(blockedReason(subject));
    return true;
  }

  private sendNext(): void {
    if (this.endIfUnsendable()) return;
    this.waits.findServer(this.criteria, this.terms.deadline, {
      // It may have waited for the server.
      onServer: (server, at) => {
        if (!this.endIfUnsendable()) this.attempts.start(server, at);
      },
      onNone: refusal => this.failWithout(refusal),
      onFailed: () => this.abort(),
    });
  }

  /** Ends a request that is blocked, or whose time is over. */
  private endIfUnsendable(): boolean {
    if (this.refuseIfBlocked()) return true;
    const timeLeft = this.terms.deadline - this.context.clock.now();
    if (timeLeft >= minSendTimeMilliseconds) return false;
    this.fail('outOfTime');
    return true;
  }

  /** What a server for the next attempt is chosen by. */
  private get criteria(): SelectionCriteria {
    return {
      service: this.input.service,
      generation: this.input.request.generation,
      softwareVersion: this.stream.softwareVersion,
      tried: this.attempts.tried,
      limitDecisions: this.attempts.limitDecisions,
      placements: this.placements,
    };
  }

  private receiveHead(
    progress: AttemptProgress,
    status: number,
    head: ResponseHead,
  ): void {
    const {attempts, exchange} = this;
    this.hasRun = true;
    if (progress === attempts.hedge) {
      if (!continuesRequest(status, exchange)) {
        attempts.endHedge(`server responded with ${status}`, 'failure');
        return;
      }
      attempts.switchToHedge();
    }
    this.relay.receiveHead(progress, status, head);
    attempts.endHedgeAfterProgress();
  }

  private receiveData(progress: AttemptProgress, chunk: Buffer): boolean {
    const mayRead = this.relay.receiveData(progress, chunk);
    this.attempts.endHedgeAfterProgress();
    return mayRead;
  }

  private receiveEnd(progress: AttemptProgress): void {
    const {status, head = emptyResponseHead, held, scanner} = progress;
    this.guard.end(progress, classifyAttemptEnd(progress));
    this.endedByClose = head.isUnframed;
    const end = classifyResponse({
      status,
      isPassedOn: progress.isPassedOn,
      isInsideEvent: scanner?.isInsideEvent ?? false,
      isUnframed: head.isUnframed,
      isCallerStarted: this.exchange.isStarted,
      isCallerUnframed: this.exchange.isStartedUnframed,
    });
    const body = held.take();
    this.attempts.detach(progress, status >= 500 ? 'failure' : 'success');
    this.completions[end]({status, head, body});
  }

  /** Retries or delivers a response of which the caller has received nothing. */
  private receiveBuffered(response: BufferedResponse): void {
    const {status} = response;
    if (!impliesNotRun(status)) this.failedResponse = response;
    const mayRetry = status >= 500 && this.terms.isRetryable;
    if (mayRetry && this.goOnElsewhere(`server responded with ${status}`)) {
      return;
    }
    if (impliesNotRun(status)) this.fail('outcomeUnknown');
    else this.deliver(response);
  }

  private receiveFailure(
    progress: AttemptProgress,
    failure: AttemptFailure,
  ): void {
    const {pool, clock} = this.context;
    this.timer.observeFailure(progress, failure);
    this.log('attempt failed', {server: progress.server.record.id, failure});
    switch (failure.kind) {
      case 'notSent':
        this.attempts.detach(progress);
        this.attempts.sent--;
        this.connectFailures++;
        if (this.attempts.keepsOther()) return;
        if (this.connectFailures < maxConnectFailures) this.sendNext();
        else this.failWithoutServer('noServer', clock.now());
        return;
      case 'notExecuted':
        this.attempts.detach(progress, 'success');
        if (failure.status === 421 && !this.input.request.namesVersion) {
          // Another server answered, so none of the service has received it.
          pool.markReplaced(progress.server);
          this.attempts.sent--;
        }
        if (this.goOnElsewhere(`server refused with ${failure.status}`)) return;
        this.failWithoutServer('serversRefused', clock.now());
        return;
      case 'unknown':
        this.hasRun = true;
        progress.server.lastByteAt = Math.max(
          progress.server.lastByteAt,
          progress.startedAt,
        );
        this.guard.end(progress, failure.isClosed === true ? 'broke' : 'other');
        if (failure.endless !== undefined) {
          recordEndlessResponse(
            this.context,
            this.input,
            progress.server,
            failure.endless,
          );
        }
        this.attempts.detach(progress, 'failure');
        this.handleUnknown(failure.reason);
    }
  }

  /** Retries, or fails a request that may have been executed. */
  private handleUnknown(reason: string): void {
    if (this.terms.isRetryable && this.goOnElsewhere(reason)) return;
    this.fail('outcomeUnknown');
  }

  /** Goes on with the other attempt, or with one at another server. */
  private goOnElsewhere(reason: string): boolean {
    return this.attempts.keepsOther() || this.retries.tryRetry(reason);
  }

  /** Leaves a server that may have executed the request. */
  private abandon(progress: AttemptProgress, reason: string): void {
    this.attempts.detach(progress, 'failure');
    progress.attempt?.abort();
    this.hasRun = true;
    this.handleUnknown(reason);
  }

  /** Leaves a server whose response has more bytes than it may. */
  private abandonEndless(progress: AttemptProgress, part: EndlessPart): void {
    recordEndlessResponse(this.context, this.input, progress.server, part);
    this.abandon(progress, `${part} without end`);
  }

  /** Leaves a server whose response is too long to be held for its caller. */
  private abandonUndelimited(progress: AttemptProgress): void {
    this.attempts.detach(progress);
    progress.attempt?.abort();
    this.fail('outcomeUnknown');
  }

  private deliver({status, head, body}: BufferedResponse): void {
    this.finish('delivered', status);
    this.exchange.sendResponse(head, status, body);
  }

  /** Ends the request with an earlier failed response, or with an error. */
  private fail(reason: RefusalReason, retryAfterSeconds?: number): void {
    if (this.exchange.isStarted) {
      this.finish('brokenOff', 0, reason);
      this.exchange.abort();
    } else if (this.failedResponse !== undefined) {
      this.deliver(this.failedResponse);
    } else if (this.hasRun) {
      this.refuse('outcomeUnknown');
    } else {
      this.refuse(reason, retryAfterSeconds);
    }
  }

  /** Fails as no server accepts the request, with the time until one may. */
  private failWithoutServer(reason: RefusalReason, now: number): void {
    const request = {...this.criteria, reason};
    this.failWithout(refuseWithoutServer(this.context, request, now));
  }

  private failWithout({reason, retryAfterSeconds}: TimedRefusal): void {
    const {reach} = this.context;
    if (reach.isLostTo(this.input.service)) this.fail('serversUnreached');
    else this.fail(reason, retryAfterSeconds);
  }

  private refuse(reason: RefusalReason, retryAfterSeconds?: number): void {
    this.finish('refused', 0, reason);
    this.exchange.refuse(reason, retryAfterSeconds);
  }

  private timeOut(): void {
    if (this.isOver) return;
    this.cancelAttempt();
    if (this.exchange.isStarted) this.fail('timedOut');
    else this.refuse(this.hasRun ? 'timedOut' : 'outOfTime');
  }

  private handleDisconnect(): void {
    if (this.isOver) return;
    this.cancelAttempt();
    this.finish('callerLeft', 0);
  }

  /** Ends the request at once, as when the router stops. */
  abort(): void {
    if (this.isOver) return;
    const {attempt, server} = this.attempts.current ?? {};
    this.log('request aborted', {server: server?.record.id});
    if (attempt?.mayHaveBeenSent === true) this.hasRun = true;
    this.cancelAttempt();
    this.fail('outcomeUnknown');
  }

  /** Cancels the current attempt, if there is one. */
  private cancelAttempt(): void {
    const {attempts, hasRun} = this;
    const {current: progress} = attempts;
    if (progress === undefined) return;
    const {attempt, server} = progress;
    this.attempts.detach(progress);
    if (attempt?.mayHaveBeenSent !== true) {
      attempt?.abort();
      return;
    }
    this.hasRun = true;
    if (hasRun || !this.tokens.isReserved) {
      attempt.abort();
      return;
    }
    const {clock} = this.context;
    this.awaitsCancelResult = true;
    attempt.cancel({clock, milliseconds: cancelTimeoutMilliseconds}, hasRun => {
      this.awaitsCancelResult = false;
      this.hasRun = hasRun;
      const usedTokens = this.settle();
      const {id} = server.record;
      this.log('attempt cancelled', {server: id, hasRun, usedTokens});
    });
  }

  private finish(
    outcome: RequestSummary['outcome'],
    status: number,
    reason?: RefusalReason,
  ): void {
    this.isOver = true;
    this.attempts.close();
    this.retries.end();
    for (const cancel of this.cancelTimers) cancel();
    this.cancelTimers = [];
    // The result of a cancelled attempt decides whether the prompt counts.
    const usedTokens = this.awaitsCancelResult ? undefined : this.settle();
    this.waits.end();
    this.context.streams.end(this.input, outcome === 'delivered');
    this.onFinished();
    const {context} = this;
    const {events, firstEventAt} = this.stream;
    const {tried, limitDecisions} = this.attempts;
    const servers = [...tried].map(([id, address]) => `${id}@${address}`);
    recordRequest(context, this.input, {
      outcome,
      status,
      reason,
      firstEventAt,
      events,
      servers,
      endedByClose: this.endedByClose,
      retryRefusal: this.retries.refusal,
      limitDecisions,
      placement: this.placements.at(-1),
      shortage: this.tokens.shortage,
      serverStates:
        reason === 'noServer'
          ? countServerStates(context, this.criteria, context.clock.now())
          : undefined,
      waitedMilliseconds: this.waits.milliseconds,
      usedTokens,
    });
  }

  private settle(): number | undefined {
    const {events} = this.stream;
    return this.tokens.settle({mayHaveRun: this.hasRun, events});
  }

  private log(message: string, fields: object): void {
    const request = this.input.request.attemptId;
    this.context.logger.info({request, ...fields}, message);
  }
}
