/**
 * @fileoverview One modelled router: its own view of the servers, and the
 * decisions of the routing package or of a baseline.
 */
import {type Announcement} from '@dogwoodtrestle/schema';
import {
  Admission,
  admissionCapacity,
  type AdmissionTicket,
  type BackendEntry,
  chooseBackend,
  decideHedging,
  decideKvTransfer,
  defaultHedgingOptions,
  Directory,
  LoadTracker,
  OutlierDetector,
  PrefixIndex,
  RetryBudget,
  SlowStart,
} from '@dogwoodtrestle/routing';

import {type Measurements} from './measurements.js';
import {type EngineJob, type ModelServer} from './modelServer.js';
import {type ChoiceName, type Policy} from './policy.js';
import {RecentSamples} from './recentSamples.js';
import {type VirtualTime} from './virtualTime.js';
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
  server: string;
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

export interface RouterModelOptions {
  failureDomain: string;
  routerCount: number;
  policy: Policy;
  time: VirtualTime;
  random: () => number;
  servers: ReadonlyMap<string, ModelServer>;
  measurements: Measurements;
}

export class RouterModel {
  readonly directory = new Directory();
  private readonly tracker = new LoadTracker();
  private readonly prefixes = new PrefixIndex();
  private readonly outliers = new OutlierDetector();
  private readonly slowStart: SlowStart;
  private readonly retryBudget = new RetryBudget();
  private readonly admission: Admission;
  private readonly byTicket = new Map<AdmissionTicket, Handle>();
  /** Of short prompts and of long ones, which take longer by nature. */
  private readonly firstTokens = {
    short: new RecentSamples(),
    long: new RecentSamples(),
  };
  private attemptCount = 0;
  private readonly choices: Record<
    ChoiceName,
    (handle: Handle, candidates: BackendEntry[]) => BackendEntry | undefined
  > = {
    policy: (handle, candidates) => this.chooseByPolicy(handle, candidates),
    randomOfTwo: (handle, candidates) => {
      const usable = untried(handle, candidates);
      const draw = () =>
        usable[Math.floor(this.options.random() * usable.length)];
      const [first, second] = [draw(), draw()];
      if (!first || !second) return first;
      return loadOf(first) <= loadOf(second) ? first : second;
    },
    leastInFlight: (handle, candidates) =>
      this.leastInFlight(untried(handle, candidates)),
  };

  constructor(private readonly options: RouterModelOptions) {
    const {time, random} = options;
    this.slowStart = new SlowStart(time.now);
    this.admission = new Admission({
      ...options.policy.admissionOptions,
      capacity: 1,
      random,
    });
  }

  observe(announcement: Announcement, ageMilliseconds: number): void {
    const {now} = this.options.time;
    const observedAt = now - ageMilliseconds;
    const observation = this.directory.observe(announcement, observedAt);
    if (observation === 'ignored') return;
    this.slowStart.observe(announcement, now);
    this.prefixes.observe(announcement);
    this.updateCapacity();
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
    this.endAttempt(handle, true);
    this.end(handle);
  }

  private enter(handle: Handle): void {
    const {now} = this.options.time;
    const {kind, customer, workspace, promptTokens} = handle.request;
    const outcome = this.admission.enter({
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
    const {started, refused} = this.admission.next(this.options.time.now);
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
    const {time, servers} = this.options;
    const candidates = this.directory.candidates(
      {kind: 'model', name: 'm'},
      time.now,
    );
    const entry = this.choices[this.options.policy.choice](handle, candidates);
    const server = entry && servers.get(entry.announcement.name);
    if (!entry || !server) {
      this.fail(handle);
      return;
    }
    const attempt = this.launch(server, handle);
    handle.attempt = attempt;
    time.after(firstTokenTimeoutMilliseconds, () => {
      if (handle.attempt !== attempt || attempt.hasToken) return;
      this.attemptFailed(handle, attempt);
    });
    if (this.options.policy.hedging) this.scheduleHedge(handle, attempt);
  }

  private launch(server: ModelServer, handle: Handle): Attempt {
    const {time, measurements, failureDomain} = this.options;
    const attempt = this.attemptOn(server.name, handle);
    handle.attempts += 1;
    handle.tried.add(attempt.server);
    measurements.attempts += 1;
    if (server.failureDomain === failureDomain) measurements.localAttempts += 1;
    this.tracker.start(attempt.server, attempt.id, time.now);
    this.submit(server, attempt, handle);
    this.prefixes.recordSent(attempt.server, handle.request.blocks, time.now);
    return attempt;
  }

  /** Sends the job, after an import of the prompt's KV cache if that helps. */
  private submit(server: ModelServer, attempt: Attempt, handle: Handle): void {
    const transfer = this.planTransfer(server, handle);
    if (!transfer) {
      server.submit(attempt.job);
      return;
    }
    this.options.time.after(transfer.milliseconds, () => {
      server.importBlocks(transfer.source.cachedBlocks(attempt.job.blocks));
      if (!attempt.isStopped) server.submit(attempt.job);
    });
  }

  private planTransfer(
    server: ModelServer,
    {request}: Handle,
  ): {source: ModelServer; milliseconds: number} | undefined {
    const {policy, servers, time} = this.options;
    if (!policy.kvTransfer) return undefined;
    const hitsOf = (name: string) =>
      this.prefixes.hits(name, request.blocks, time.now);
    let source: ModelServer | undefined;
    for (const each of servers.values()) {
      if (each.isDown) continue;
      if (!source || hitsOf(each.name) > hitsOf(source.name)) source = each;
    }
    if (!source || source === server) return undefined;
    const {transfer, importMilliseconds} = decideKvTransfer(
      {
        promptTokens: request.promptTokens,
        destinationHits: hitsOf(server.name),
        sourceHits: hitsOf(source.name),
        supported: true,
        prefillTokensPerSecond: server.prefillTokensPerSecond,
      },
      policy.kvTransfer,
    );
    return transfer ? {source, milliseconds: importMilliseconds} : undefined;
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
    const {time, servers} = this.options;
    const candidates = this.directory.candidates(
      {kind: 'model', name: 'm'},
      time.now,
    );
    const entry = this.chooseByPolicy(handle, candidates);
    const server = entry && servers.get(entry.announcement.name);
    if (!entry || !server) return;
    const {capacity} = entry.announcement.load;
    const load = Math.max(0, loadOf(entry) + this.tracker.correction(entry));
    const decision = decideHedging({
      idempotent: true,
      hasOutput: attempt.hasToken,
      attemptCount: handle.attempts,
      waitedMilliseconds: waited,
      remainingMilliseconds: handle.request.kind.deadlineMilliseconds - waited,
      recentFirstTokenMilliseconds: this.firstTokensLike(handle).sorted(),
      alternativeUtilisation: load / capacity,
      cancellable: true,
      takeRetry: () => this.retryBudget.tryRetry(time.now),
    });
    if (decision.hedge) handle.hedge = this.launch(server, handle);
  }

  private firstTokensLike({request}: Handle): RecentSamples {
    const isLong = request.promptTokens >= longPromptTokens;
    return this.firstTokens[isLong ? 'long' : 'short'];
  }

  /** The first of two attempts that answers goes on alone. */
  private settleHedge(handle: Handle, answering: Attempt): void {
    const {hedge, attempt} = handle;
    if (!hedge) return;
    const loser = answering === hedge ? attempt : hedge;
    handle.attempt = answering;
    handle.hedge = undefined;
    if (loser) this.stopAttempt(loser, true);
  }

  private attemptOn(server: string, handle: Handle): Attempt {
    const {request} = handle;
    const {measurements, policy, time} = this.options;
    const startedAt = time.now;
    this.attemptCount += 1;
    const attempt: Attempt = {
      id: String(this.attemptCount),
      server,
      hasToken: false,
      isStopped: false,
      job: {
        blocks: request.blocks,
        promptTokens: request.promptTokens,
        outputTokens: request.outputTokens,
        priority: policy.enginePriorities ? request.kind.priority : 'normal',
        onCacheHits: tokens => {
          measurements.promptTokens += request.promptTokens;
          measurements.cachedTokens += tokens;
        },
        onToken: isLast => {
          if (handle.hedge) this.settleHedge(handle, attempt);
          if (handle.attempt !== attempt) return;
          if (!attempt.hasToken) {
            this.firstTokensLike(handle).record(time.now - startedAt);
          }
          attempt.hasToken = true;
          handle.caller.onToken();
          if (isLast) this.done(handle);
        },
        onFailure: () => {
          if (handle.hedge === attempt) this.endHedge(handle);
          else if (handle.attempt === attempt) {
            this.attemptFailed(handle, attempt);
          }
        },
      },
    };
    return attempt;
  }

  private done(handle: Handle): void {
    this.record(handle, 'success');
    this.endAttempt(handle, false);
    this.end(handle);
    handle.caller.onDone();
  }

  private attemptFailed(handle: Handle, attempt: Attempt): void {
    const {time, policy} = this.options;
    this.record(handle, 'failure');
    this.endAttempt(handle, true);
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

  private endAttempt(handle: Handle, isCancelled: boolean): void {
    this.endHedge(handle);
    if (handle.attempt) this.stopAttempt(handle.attempt, isCancelled);
    handle.attempt = undefined;
  }

  private endHedge(handle: Handle): void {
    if (handle.hedge) this.stopAttempt(handle.hedge, true);
    handle.hedge = undefined;
  }

  private stopAttempt(attempt: Attempt, isCancelled: boolean): void {
    const {time, servers} = this.options;
    attempt.isStopped = true;
    this.tracker.end(attempt.server, attempt.id, time.now);
    if (isCancelled) servers.get(attempt.server)?.cancel(attempt.job);
  }

  private end(handle: Handle): void {
    handle.isOver = true;
    if (!handle.ticket) return;
    this.byTicket.delete(handle.ticket);
    this.admission.leave(handle.ticket, this.options.time.now);
    this.serveQueue();
  }

  private record(handle: Handle, outcome: 'success' | 'failure'): void {
    const {policy, servers, time} = this.options;
    if (!policy.outlierDetection || !handle.attempt) return;
    const {server} = handle.attempt;
    this.outliers.record(server, outcome, servers.size, time.now);
  }

  private chooseByPolicy(
    handle: Handle,
    candidates: BackendEntry[],
  ): BackendEntry | undefined {
    const {policy, time, random, failureDomain} = this.options;
    const {now} = time;
    return chooseBackend({
      candidates,
      now,
      inFlight: name => this.tracker.inFlight(name),
      correction: entry => this.tracker.correction(entry),
      failureDomain,
      promptTokens: handle.request.promptTokens,
      prefixHits: name => this.prefixes.hits(name, handle.request.blocks, now),
      health: name => ({
        ejected: this.outliers.ejected(name, now),
        weight: policy.slowStart ? this.slowStart.weight(name, now) : 1,
      }),
      exclude: handle.tried,
      random,
      options: policy.choiceOptions,
    }).backend;
  }

  private leastInFlight(candidates: BackendEntry[]): BackendEntry | undefined {
    let least = Infinity;
    for (const {announcement} of candidates) {
      least = Math.min(least, this.tracker.inFlight(announcement.name));
    }
    const best = candidates.filter(
      ({announcement}) => this.tracker.inFlight(announcement.name) === least,
    );
    return best[Math.floor(this.options.random() * best.length)];
  }

  /** This router's part of the places of the servers that may get work. */
  private updateCapacity(): void {
    const {time, routerCount, policy} = this.options;
    const candidates = this.directory.candidates(
      {kind: 'model', name: 'm'},
      time.now,
    );
    const headroom = policy.admissionHeadroom;
    this.admission.setCapacity(
      admissionCapacity(
        {
          candidates,
          correction: entry => this.tracker.correction(entry),
          running: this.admission.runningCount,
          routerCount,
        },
        {headroom},
      ),
    );
  }
}

function untried(handle: Handle, candidates: BackendEntry[]): BackendEntry[] {
  return candidates.filter(
    ({announcement}) => !handle.tried.has(announcement.name),
  );
}

function loadOf({announcement: {load}}: BackendEntry): number {
  return load.running + load.queued;
}
