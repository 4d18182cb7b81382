/**
 * @fileoverview The open attempts of one request: the one whose response the caller
 * gets, and beside it, while that one has stalled, a hedge attempt at a second
 * server.
 */
import {type AttemptFailure, whileCurrent} from './attempt.js';
import {
  type AttemptProgress,
  createProgress,
  releaseBytes,
} from './attemptProgress.js';
import {type EdgeContext} from './edgeContext.js';
import {type RelayedStream} from './relayedStream.js';
import {type RequestGuard} from './requestGuard.js';
import {type RequestTerms} from './requestTerms.js';
import {type ResponseTimer} from './responseTimer.js';
import {type RoutedRequest} from './routedRequest.js';
import {type LimitDecision} from './serverLimits.js';
import {type PooledServer} from './serverPool.js';
import {startAttempt} from './startAttempt.js';
import {type ResponseHead} from './wireCodec.js';

/** The request that is attempted. */
export interface AttemptedRequest {
  context: EdgeContext;
  input: RoutedRequest;
  terms: RequestTerms;
  timer: ResponseTimer;
  guard: RequestGuard;
  stream: RelayedStream;
}

/** Receives the response of an open attempt, see `AttemptListener`. */
export interface AttemptHandlers {
  onHead(progress: AttemptProgress, status: number, head: ResponseHead): void;
  onData(progress: AttemptProgress, chunk: Buffer): boolean;
  onEnd(progress: AttemptProgress): void;
  onFailed(progress: AttemptProgress, failure: AttemptFailure): void;
  /** Called once an attempt is the current one. */
  onCurrent(progress: AttemptProgress): void;
}

/** The place of an attempt. */
export type AttemptRole = 'current' | 'hedge';

/** Starts and ends the attempts of one request. */
export class OpenAttempts {
  private readonly open: Partial<Record<AttemptRole, AttemptProgress>> = {};
  /** Addresses of the servers that were tried, by id. */
  readonly tried = new Map<string, string>();
  readonly limitDecisions: LimitDecision[] = [];
  /** Servers that may have got the request. */
  sent = 0;
  private isClosed = false;

  constructor(
    private readonly request: AttemptedRequest,
    private readonly handlers: AttemptHandlers,
  ) {}

  /** The attempt whose response the caller gets. */
  get current(): AttemptProgress | undefined {
    return this.open.current;
  }

  /** The second attempt, only beside a current one. */
  get hedge(): AttemptProgress | undefined {
    return this.open.hedge;
  }

  /** Sends the request to a server. */
  start(
    server: PooledServer,
    now: number,
    role: AttemptRole = 'current',
  ): AttemptProgress {
    const {context, input, terms, guard, stream} = this.request;
    const {limits, connections, responseBudget} = context;
    const {handlers} = this;
    const {record} = server;
    this.tried.set(record.id, record.address);
    this.sent++;
    const target = {
      server: record,
      timeRemainingMilliseconds: terms.deadline - now,
      lastEventId: stream.lastEventId,
    };
    const progress = createProgress(server, now, responseBudget);
    this.open[role] = progress;
    server.begin(progress, terms.promptTokens, now);
    guard.begin(progress);
    limits.recordAttempt(server, progress, this.limitDecisions, now);
    const listener = whileCurrent(() => this.has(progress), {
      onHead: (status, head) => handlers.onHead(progress, status, head),
      onData: chunk => handlers.onData(progress, chunk),
      onEnd: () => handlers.onEnd(progress),
      onFailed: failure => handlers.onFailed(progress, failure),
    });
    startAttempt(context, input, {progress, target, listener});
    connections.recordUse(server);
    if (role === 'current') handlers.onCurrent(progress);
    return progress;
  }

  /** Whether an attempt is open. */
  has(progress: AttemptProgress): boolean {
    const {current, hedge} = this.open;
    return !this.isClosed && (progress === current || progress === hedge);
  }

  /** Ends an attempt that the server has ended, or that is left. */
  detach(progress: AttemptProgress, outcome?: 'success' | 'failure'): void {
    if (progress === this.current) this.open.current = undefined;
    else if (progress === this.hedge) this.open.hedge = undefined;
    else return;
    const {context, terms, timer, guard} = this.request;
    timer.observeEnd(progress);
    const {server, hasFirstEvent} = progress;
    const now = context.clock.now();
    const unreadTokens = hasFirstEvent ? 0 : terms.promptTokens;
    server.end(progress, unreadTokens, now);
    guard.end(progress, 'other');
    releaseBytes(progress);
    progress.observers?.onSignal({kind: 'ended'});
    if (outcome !== undefined) context.pool.record(server, outcome, now);
  }

  /** Leaves the first server; the hedge attempt is the current one from now on. */
  switchToHedge(): void {
    const {current: first, hedge} = this;
    if (hedge === undefined) return;
    if (first !== undefined) {
      this.detach(first, 'failure');
      first.attempt?.abort();
    }
    this.open.hedge = undefined;
    this.open.current = hedge;
    this.log('switched to hedge attempt', {server: hedge.server.id});
    this.handlers.onCurrent(hedge);
  }

  /** Leaves the second server, if there is one. */
  endHedge(reason: string, outcome?: 'failure'): void {
    const {hedge} = this;
    if (hedge === undefined) return;
    this.log('hedge attempt ended', {server: hedge.server.id, reason});
    this.detach(hedge, outcome);
    hedge.attempt?.abort();
  }

  /** Leaves the second server if the first one has gone on since it was asked. */
  endHedgeAfterProgress(): void {
    const {current, hedge} = this;
    if (current === undefined || hedge === undefined) return;
    const hasGoneOn = current.progressAt >= hedge.startedAt;
    if (hasGoneOn) this.endHedge('first server went on');
  }

  /** Whether an attempt is left after another one has ended. */
  keepsOther(): boolean {
    if (this.current === undefined) this.switchToHedge();
    return this.current !== undefined;
  }

  /** Ends a hedge attempt; no handler is called from now on. */
  close(): void {
    this.endHedge('request ended');
    this.isClosed = true;
  }

  private log(message: string, fields: object): void {
    const {context, input} = this.request;
    const request = input.request.attemptId;
    context.logger.info({request, ...fields}, message);
  }
}
