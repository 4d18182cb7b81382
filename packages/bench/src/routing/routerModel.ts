/**
 * @fileoverview Model of one router: admission, attempts, retries and hedging
 * of its requests.
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
/** Expected time per output token. */
const expectedTokenMilliseconds = 20;

/**
 * Callbacks of a request. Exactly one of `onDone`, `onFailure` and `onRefusal`
 * is called, unless the caller cancels.
 */
export interface CallerCallbacks {
  onToken: () => void;
  onDone: () => void;
  onFailure: () => void;
  onRefusal: (reason: string, retryAfterMilliseconds: number) => void;
}

/** One attempt of a request at a server. */
interface Attempt {
  id: string;
  server: ModelServer;
  job: EngineJob;
  hasToken: boolean;
  isStopped: boolean;
}

/** State of a request in a router. */
export interface RequestHandle {
  request: GeneratedRequest;
  caller: CallerCallbacks;
  ticket?: AdmissionTicket;
  attempt?: Attempt;
  /** Hedging attempt, until one of the two attempts yields a token. */
  hedge?: Attempt;
  attempts: number;
  tried: Set<string>;
  isOver: boolean;
}

/** Options of a modelled router. */
export interface RouterModelOptions extends ServerViewOptions {
  measurements: Measurements;
}

/** A modelled router. */
export class RouterModel {
  private readonly view: ServerView;
  private readonly retryBudget = new RetryBudget();
  private readonly admission: AdmissionController;
  private readonly requestsByTicket = new Map<AdmissionTicket, RequestHandle>();
  /** First-token times, separate for long prompts, which take longer. */
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

  send(request: GeneratedRequest, caller: CallerCallbacks): RequestHandle {
    const handle: RequestHandle = {
      request,
      caller,
      attempts: 0,
      tried: new Set(),
      isOver: false,
    };
    this.retryBudget.recordRequest(this.options.time.now);
    if (this.options.policy.admission) this.submitForAdmission(handle);
    else this.startAttempt(handle);
    return handle;
  }

  /** Cancels a request on behalf of its caller. */
  cancel(handle: RequestHandle): void {
    if (handle.isOver) return;
    this.endAttempts(handle, true);
    this.endRequest(handle);
  }

  private submitForAdmission(handle: RequestHandle): void {
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
    this.requestsByTicket.set(outcome.ticket, handle);
    if (outcome.kind === 'admitted') this.startAttempt(handle);
    this.dispatchQueue();
  }

  private dispatchQueue(): void {
    const {started, refused} = this.admission.dispatch(this.options.time.now);
    for (const {ticket, reason, retryAfterMilliseconds} of refused) {
      const handle = this.requestsByTicket.get(ticket);
      this.requestsByTicket.delete(ticket);
      if (!handle || handle.isOver) continue;
      handle.isOver = true;
      handle.caller.onRefusal(reason, retryAfterMilliseconds);
    }
    for (const ticket of started) {
      const handle = this.requestsByTicket.get(ticket);
      if (handle && !handle.isOver) this.startAttempt(handle);
    }
  }

  private startAttempt(handle: RequestHandle): void {
    const {time, policy} = this.options;
    const choice = this.view.choose(handle);
    if (!choice) {
      this.failRequest(handle);
      return;
    }
    const attempt = this.sendAttempt(choice.server, handle);
    handle.attempt = attempt;
    time.after(firstTokenTimeoutMilliseconds, () => {
      if (handle.attempt !== attempt || attempt.hasToken) return;
      this.retryOrFail(handle, attempt);
    });
    if (policy.hedging) this.scheduleHedge(handle, attempt);
  }

  private sendAttempt(server: ModelServer, handle: RequestHandle): Attempt {
    const {measurements, failureDomain} = this.options;
    const {request} = handle;
    this.attemptCount += 1;
    const attempt: Attempt = {
      id: String(this.attemptCount),
      server,
      hasToken: false,
      isStopped: false,
      job: this.createJob(handle, () => attempt),
    };
    handle.attempts += 1;
    handle.tried.add(server.name);
    measurements.attempts += 1;
    if (server.failureDomain === failureDomain) measurements.localAttempts += 1;
    this.submitJob(attempt, request);
    this.view.start(server.name, attempt.id, request);
    return attempt;
  }

  /** Sends the job, after importing the prompt's KV cache if that is faster. */
  private submitJob(attempt: Attempt, request: GeneratedRequest): void {
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

  private createJob(
    handle: RequestHandle,
    getAttempt: () => Attempt,
  ): EngineJob {
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
        this.receiveToken(handle, getAttempt(), startedAt, isLast),
      onFailure: () => this.receiveFailure(handle, getAttempt()),
    };
  }

  private receiveToken(
    handle: RequestHandle,
    attempt: Attempt,
    startedAt: number,
    isLast: boolean,
  ): void {
    if (handle.hedge) this.resolveHedge(handle, attempt);
    if (handle.attempt !== attempt) return;
    if (!attempt.hasToken) {
      const milliseconds = this.options.time.now - startedAt;
      this.firstTokenSamples(handle).record(milliseconds);
    }
    attempt.hasToken = true;
    handle.caller.onToken();
    if (isLast) this.completeRequest(handle, attempt);
  }

  private receiveFailure(handle: RequestHandle, attempt: Attempt): void {
    if (handle.hedge === attempt) this.endHedge(handle);
    else if (handle.attempt === attempt) this.retryOrFail(handle, attempt);
  }

  private scheduleHedge(handle: RequestHandle, attempt: Attempt): void {
    const {time} = this.options;
    const startedAt = time.now;
    const samples = this.firstTokenSamples(handle).sorted();
    const slow = samples[Math.floor((samples.length - 1) * hedgingQuantile)];
    if (slow === undefined) return;
    time.after(slow + 1, () => {
      if (handle.attempt === attempt && !handle.isOver) {
        this.startHedge(handle, attempt, time.now - startedAt);
      }
    });
  }

  private startHedge(
    handle: RequestHandle,
    attempt: Attempt,
    waited: number,
  ): void {
    const choice = this.view.choose(handle);
    if (!choice) return;
    const decision = decideHedging({
      idempotent: true,
      hasOutput: attempt.hasToken,
      attemptCount: handle.attempts,
      waitedMilliseconds: waited,
      remainingMilliseconds: handle.request.kind.deadlineMilliseconds - waited,
      recentFirstTokenMilliseconds: this.firstTokenSamples(handle).sorted(),
      alternativeUtilisation: choice.utilisation,
      cancellable: true,
      takeRetry: () => this.retryBudget.tryRetry(this.options.time.now),
    });
    if (decision.hedge) handle.hedge = this.sendAttempt(choice.server, handle);
  }

  private firstTokenSamples({request}: RequestHandle): RecentSamples {
    const isLong = request.promptTokens >= longPromptTokens;
    return this.firstTokens[isLong ? 'long' : 'short'];
  }

  /** Keeps the attempt that yielded the first token and stops the other. */
  private resolveHedge(handle: RequestHandle, winner: Attempt): void {
    const {hedge, attempt} = handle;
    const loser = winner === hedge ? attempt : hedge;
    handle.attempt = winner;
    handle.hedge = undefined;
    if (loser) this.stopAttempt(loser, true);
  }

  private completeRequest(handle: RequestHandle, attempt: Attempt): void {
    this.view.record(attempt.server.name, 'success');
    this.endAttempts(handle, false);
    this.endRequest(handle);
    handle.caller.onDone();
  }

  private retryOrFail(handle: RequestHandle, attempt: Attempt): void {
    const {time, policy} = this.options;
    this.view.record(attempt.server.name, 'failure');
    this.endAttempts(handle, true);
    // A stream that has started is not retried by the router.
    const mayRetry = !attempt.hasToken && handle.attempts < maximumAttempts;
    const hasBudget =
      mayRetry && (!policy.retryBudget || this.retryBudget.tryRetry(time.now));
    if (hasBudget) this.startAttempt(handle);
    else this.failRequest(handle);
  }

  private failRequest(handle: RequestHandle): void {
    this.endRequest(handle);
    handle.caller.onFailure();
  }

  private endAttempts(handle: RequestHandle, isCancelled: boolean): void {
    this.endHedge(handle);
    if (handle.attempt) this.stopAttempt(handle.attempt, isCancelled);
    handle.attempt = undefined;
  }

  private endHedge(handle: RequestHandle): void {
    if (handle.hedge) this.stopAttempt(handle.hedge, true);
    handle.hedge = undefined;
  }

  private stopAttempt(attempt: Attempt, isCancelled: boolean): void {
    attempt.isStopped = true;
    this.view.end(attempt.server.name, attempt.id);
    if (isCancelled) attempt.server.cancel(attempt.job);
  }

  private endRequest(handle: RequestHandle): void {
    handle.isOver = true;
    if (!handle.ticket) return;
    this.requestsByTicket.delete(handle.ticket);
    this.admission.release(handle.ticket, this.options.time.now);
    this.dispatchQueue();
  }
}
