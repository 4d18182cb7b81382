/**
 * @fileoverview One modelled router: admission, attempts, retries and hedging
 * of the requests that callers send to it.
 */
import {type Announcement} from '@dogwoodtrestle/schema';
import {
  AdmissionController,
  type AdmissionTicket,
  decideHedging,
  defaultHedgingOptions,
  RetryBudget,
} from '@dogwoodtrestle/routing';

import {type Measurements} from './measurements.js';
import {type EngineJob, type ModelServer} from './modelServer.js';
import {RecentSamples} from './recentSamples.js';
import {ServerView, type ServerViewOptions} from './serverView.js';
import {type GeneratedRequest} from './workload.js';

const maximumAttempts = 3;
const longPromptTokens = 2_000;
const {quantile: hedgingQuantile} = defaultHedgingOptions;
const firstTokenTimeoutMilliseconds = 5_000;
/** Time per output token that a router expects. */
const expectedTokenMilliseconds = 20;

/** What a router tells its caller; exactly one of the endings is called. */
export interface Caller {
  onToken: () => void;
  onDone: () => void;
  onFailure: () => void;
  onRefusal: (reason: string, retryAfterMilliseconds: number) => void;
}

interface Attempt {
  id: string;
  server: ModelServer;
  job: EngineJob;
  hasToken: boolean;
  isStopped: boolean;
}

/** A request in a router. */
export interface Handle {
  request: GeneratedRequest;
  caller: Caller;
  ticket?: AdmissionTicket;
  attempt?: Attempt;
  /** Second attempt beside the first, until one of them answers. */
  hedge?: Attempt;
  attempts: number;
  tried: Set<string>;
  isOver: boolean;
}

export interface RouterModelOptions extends ServerViewOptions {
  measurements: Measurements;
}

export class RouterModel {
  private readonly view: ServerView;
  private readonly retryBudget = new RetryBudget();
  private readonly admission: AdmissionController;
  private readonly byTicket = new Map<AdmissionTicket, Handle>();
  /** Of short prompts and of long ones, which take longer by nature. */
  private readonly firstTokens = {
    short: new RecentSamples(),
    long: new RecentSamples(),
  };
  private attemptCount = 0;

  constructor(private readonly options: RouterModelOptions) {
    this.view = new ServerView(options);
    this.admission = new AdmissionController({
      ...options.policy.admissionOptions,
      capacity: 1,
      random: options.random,
    });
  }

  observe(announcement: Announcement, ageMilliseconds: number): void {
    if (!this.view.observe(announcement, ageMilliseconds)) return;
    const {runningCount} = this.admission;
    this.admission.setCapacity(this.view.capacity(runningCount));
  }

  send(request: GeneratedRequest, caller: Caller): Handle {
    const handle: Handle = {
      request,
      caller,
      attempts: 0,
      tried: new Set(),
      isOver: false,
    };
    this.retryBudget.recordRequest(this.options.time.now);
    if (this.options.policy.admission) this.enter(handle);
    else this.startAttempt(handle);
    return handle;
  }

  /** The caller has given up. */
  cancel(handle: Handle): void {
    if (handle.isOver) return;
    this.endAttempts(handle, true);
    this.end(handle);
  }

  private enter(handle: Handle): void {
    const {now} = this.options.time;
    const {kind, customer, workspace, promptTokens} = handle.request;
    const outcome = this.admission.submit({
      customer,
      workspace,
      priority: kind.priority,
      deadline: now + kind.deadlineMilliseconds,
      expectedMilliseconds: kind.outputTokens * expectedTokenMilliseconds,
      cost: 1 + promptTokens / 1_000,
      now,
    });
    if (outcome.kind === 'refused') {
      handle.isOver = true;
      const {reason, retryAfterMilliseconds} = outcome;
      handle.caller.onRefusal(reason, retryAfterMilliseconds);
      return;
    }
    handle.ticket = outcome.ticket;
    this.byTicket.set(outcome.ticket, handle);
    if (outcome.kind === 'admitted') this.startAttempt(handle);
    this.serveQueue();
  }

  private serveQueue(): void {
    const {started, refused} = this.admission.dispatch(this.options.time.now);
    for (const {ticket, reason, retryAfterMilliseconds} of refused) {
      const handle = this.byTicket.get(ticket);
      this.byTicket.delete(ticket);
      if (!handle || handle.isOver) continue;
      handle.isOver = true;
      handle.caller.onRefusal(reason, retryAfterMilliseconds);
    }
    for (const ticket of started) {
      const handle = this.byTicket.get(ticket);
      if (handle && !handle.isOver) this.startAttempt(handle);
    }
  }

  private startAttempt(handle: Handle): void {
    const {time, policy} = this.options;
    const choice = this.view.choose(handle);
    if (!choice) {
      this.fail(handle);
      return;
    }
    const attempt = this.launch(choice.server, handle);
    handle.attempt = attempt;
    time.after(firstTokenTimeoutMilliseconds, () => {
      if (handle.attempt !== attempt || attempt.hasToken) return;
      this.attemptFailed(handle, attempt);
    });
    if (policy.hedging) this.scheduleHedge(handle, attempt);
  }

  private launch(server: ModelServer, handle: Handle): Attempt {
    const {measurements, failureDomain} = this.options;
    const {request} = handle;
    this.attemptCount += 1;
    const attempt: Attempt = {
      id: String(this.attemptCount),
      server,
      hasToken: false,
      isStopped: false,
      job: this.jobOf(handle, () => attempt),
    };
    handle.attempts += 1;
    handle.tried.add(server.name);
    measurements.attempts += 1;
    if (server.failureDomain === failureDomain) measurements.localAttempts += 1;
    this.submit(attempt, request);
    this.view.start(server.name, attempt.id, request);
    return attempt;
  }

  /** Sends the job, after an import of the prompt's KV cache if that helps. */
  private submit(attempt: Attempt, request: GeneratedRequest): void {
    const {server, job} = attempt;
    const transfer = this.view.planTransfer(server, request);
    if (!transfer) {
      server.submit(job);
      return;
    }
    this.options.time.after(transfer.milliseconds, () => {
      server.importBlocks(transfer.source.cachedBlocks(job.blocks));
      if (!attempt.isStopped) server.submit(job);
    });
  }

  private jobOf(handle: Handle, attemptOf: () => Attempt): EngineJob {
    const {request} = handle;
    const {measurements, policy, time} = this.options;
    const startedAt = time.now;
    return {
      blocks: request.blocks,
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      priority: policy.enginePriorities ? request.kind.priority : 'normal',
      onCacheHits: tokens => {
        measurements.promptTokens += request.promptTokens;
        measurements.cachedTokens += tokens;
      },
      onToken: isLast =>
        this.receiveToken(handle, attemptOf(), startedAt, isLast),
      onFailure: () => this.receiveFailure(handle, attemptOf()),
    };
  }

  private receiveToken(
    handle: Handle,
    attempt: Attempt,
    startedAt: number,
    isLast: boolean,
  ): void {
    if (handle.hedge) this.settleHedge(handle, attempt);
    if (handle.attempt !== attempt) return;
    if (!attempt.hasToken) {
      const milliseconds = this.options.time.now - startedAt;
      this.firstTokensLike(handle).record(milliseconds);
    }
    attempt.hasToken = true;
    handle.caller.onToken();
    if (isLast) this.done(handle, attempt);
  }

  private receiveFailure(handle: Handle, attempt: Attempt): void {
    if (handle.hedge === attempt) this.endHedge(handle);
    else if (handle.attempt === attempt) this.attemptFailed(handle, attempt);
  }

  private scheduleHedge(handle: Handle, attempt: Attempt): void {
    const {time} = this.options;
    const startedAt = time.now;
    const samples = this.firstTokensLike(handle).sorted();
    const slow = samples[Math.floor((samples.length - 1) * hedgingQuantile)];
    if (slow === undefined) return;
    time.after(slow + 1, () => {
      if (handle.attempt === attempt && !handle.isOver) {
        this.hedge(handle, attempt, time.now - startedAt);
      }
    });
  }

  private hedge(handle: Handle, attempt: Attempt, waited: number): void {
    const choice = this.view.choose(handle);
    if (!choice) return;
    const decision = decideHedging({
      idempotent: true,
      hasOutput: attempt.hasToken,
      attemptCount: handle.attempts,
      waitedMilliseconds: waited,
      remainingMilliseconds: handle.request.kind.deadlineMilliseconds - waited,
      recentFirstTokenMilliseconds: this.firstTokensLike(handle).sorted(),
      alternativeUtilisation: choice.utilisation,
      cancellable: true,
      takeRetry: () => this.retryBudget.tryRetry(this.options.time.now),
    });
    if (decision.hedge) handle.hedge = this.launch(choice.server, handle);
  }

  private firstTokensLike({request}: Handle): RecentSamples {
    const isLong = request.promptTokens >= longPromptTokens;
    return this.firstTokens[isLong ? 'long' : 'short'];
  }

  /** The first of two attempts that answers goes on alone. */
  private settleHedge(handle: Handle, answering: Attempt): void {
    const {hedge, attempt} = handle;
    const loser = answering === hedge ? attempt : hedge;
    handle.attempt = answering;
    handle.hedge = undefined;
    if (loser) this.stopAttempt(loser, true);
  }

  private done(handle: Handle, attempt: Attempt): void {
    this.view.record(attempt.server.name, 'success');
    this.endAttempts(handle, false);
    this.end(handle);
    handle.caller.onDone();
  }

  private attemptFailed(handle: Handle, attempt: Attempt): void {
    const {time, policy} = this.options;
    this.view.record(attempt.server.name, 'failure');
    this.endAttempts(handle, true);
    // A stream that has begun isn't run again here.
    const mayRetry = !attempt.hasToken && handle.attempts < maximumAttempts;
    const hasBudget =
      mayRetry && (!policy.retryBudget || this.retryBudget.tryRetry(time.now));
    if (hasBudget) this.startAttempt(handle);
    else this.fail(handle);
  }

  private fail(handle: Handle): void {
    this.end(handle);
    handle.caller.onFailure();
  }

  private endAttempts(handle: Handle, isCancelled: boolean): void {
    this.endHedge(handle);
    if (handle.attempt) this.stopAttempt(handle.attempt, isCancelled);
    handle.attempt = undefined;
  }

  private endHedge(handle: Handle): void {
    if (handle.hedge) this.stopAttempt(handle.hedge, true);
    handle.hedge = undefined;
  }

  private stopAttempt(attempt: Attempt, isCancelled: boolean): void {
    attempt.isStopped = true;
    this.view.end(attempt.server.name, attempt.id);
    if (isCancelled) attempt.server.cancel(attempt.job);
  }

  private end(handle: Handle): void {
    handle.isOver = true;
    if (!handle.ticket) return;
    this.byTicket.delete(handle.ticket);
    this.admission.release(handle.ticket, this.options.time.now);
    this.serveQueue();
  }
}
