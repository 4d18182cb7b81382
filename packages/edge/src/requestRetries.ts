/**
 * @fileoverview Sends one request to further backend servers: after a failure, or
 * beside a server at which it has stalled.
 *
 * A server at which a request stalls is left only once another one has the request,
 * as it may still go on, and what it has done would be lost.
 */
import {type AttemptProgress} from './attemptProgress.js';
import {type CallerExchange} from './callerExchange.js';
import {type EdgeContext} from './edgeContext.js';
import {type OpenAttempts} from './openAttempts.js';
import {type RelayedStream} from './relayedStream.js';
import {type RequestGuard} from './requestGuard.js';
import {type RequestTerms} from './requestTerms.js';
import {type ResponseTimer} from './responseTimer.js';
import {type RetryRefusal, takeRetry} from './retryDecision.js';
import {type RoutedRequest} from './routedRequest.js';
import {type SelectionCriteria} from './serverSelection.js';
import {
  heardWithin,
  isStalled,
  stallStateOf,
  type StallCheckState,
  watchForStall,
} from './stallWatch.js';

/** The request that is sent on. */
export interface RetriedRequest {
  context: EdgeContext;
  input: RoutedRequest;
  terms: RequestTerms;
  timer: ResponseTimer;
  guard: RequestGuard;
  stream: RelayedStream;
  attempts: OpenAttempts;
  exchange: Pick<CallerExchange, 'isStarted'>;
  /** Returns what the next server is chosen by. */
  criteria: () => SelectionCriteria;
  /** Called as a second server gets the request, which the first one may run. */
  onHedge: () => void;
}

/** Retries and hedge attempts of one request. */
export class RequestRetries {
  /** Why it was not sent on when it last could have been. */
  refusal?: RetryRefusal;
  private readonly cancelTimers: Array<() => void> = [];

  constructor(private readonly request: RetriedRequest) {}

  /** Retries if it may, and if no event would reach the caller again. */
  tryRetry(reason: string): boolean {
    const {context, attempts} = this.request;
    const now = context.clock.now();
    const decision = takeRetry(context, this.candidate(), now);
    if ('refusal' in decision) {
      this.recordRefusal(reason, decision.refusal);
      return false;
    }
    this.recordRetry('retrying request', {reason});
    attempts.start(decision.server, now);
    return true;
  }

  /** Hedges a request that may be repeated while its server makes no progress. */
  watchForStall(progress: AttemptProgress): void {
    const {context, terms, attempts} = this.request;
    if (!terms.isRetryable) return;
    const {clock} = context;
    const stateOf = () =>
      attempts.current === progress ? this.stateOf(progress) : undefined;
    let stalledSince: number | undefined;
    const cancel = watchForStall(clock, stateOf, state => {
      if (progress.progressAt !== stalledSince) {
        stalledSince = progress.progressAt;
        this.refusal = undefined;
        this.log('server stalled', {server: progress.server.id, ...state});
      }
      if (this.mayHedge()) this.tryHedge(progress, state);
    });
    this.cancelTimers.push(cancel);
  }

  /** Stops to watch the attempts. */
  end(): void {
    for (const cancel of this.cancelTimers) cancel();
  }

  private stateOf(progress: AttemptProgress): StallCheckState {
    const {context, terms, timer} = this.request;
    const {clock, options} = context;
    const {deadline} = terms;
    const patience = timer.firstEventTimeout;
    const gapLimit = options.eventGapTimeoutMilliseconds;
    const limits = {patience, gapLimit, deadline};
    return stallStateOf(progress, limits, clock.now());
  }

  /** Whether a hedge attempt may start: there is none, or it has stalled itself. */
  private mayHedge(): boolean {
    const {hedge, mayConnect} = this.request.attempts;
    if (!mayConnect) return false;
    return hedge === undefined || isStalled(this.stateOf(hedge));
  }

  /** Sends the request to a second server as well, if it may. */
  private tryHedge(first: AttemptProgress, state: StallCheckState): void {
    const {context, timer, attempts, onHedge} = this.request;
    const now = context.clock.now();
    const decision = takeRetry(context, this.candidate(), now, {
      isHedge: true,
      heardWithin: heardWithin(state),
    });
    if ('refusal' in decision) {
      const {refusal} = decision;
      const isKnown = refusal === this.refusal;
      if (!isKnown) this.recordRefusal('server stalled', refusal);
      return;
    }
    const {server} = decision;
    onHedge();
    timer.observeStall(first, state);
    attempts.endHedge('server stalled', 'failure');
    this.recordRetry('hedging request', {server: server.id});
    attempts.start(server, now, 'hedge');
  }

  private candidate() {
    const {input, terms, guard, stream} = this.request;
    const {attempts, exchange, criteria} = this.request;
    return {
      ...{input, terms, guard, stream},
      criteria: criteria(),
      hasBegun: exchange.isStarted && !terms.isStream,
      sentAttempts: attempts.sent,
    };
  }

  private recordRefusal(reason: string, refusal: RetryRefusal): void {
    const {context, input} = this.request;
    const {service} = input;
    this.refusal = refusal;
    context.metrics.retries.add({service, outcome: refusal});
    this.log('retry refused', {reason, refusal});
  }

  private recordRetry(message: string, fields: object): void {
    const {context, input, stream} = this.request;
    const {service} = input;
    context.metrics.retries.add({service, outcome: 'sent'});
    const {lastEventId, softwareVersion} = stream;
    this.log(message, {...fields, lastEventId, softwareVersion});
  }

  private log(message: string, fields: object): void {
    const {context, input} = this.request;
    const request = input.request.attemptId;
    context.logger.info({request, ...fields}, message);
  }
}
