/**
 * @fileoverview Sends commands and queries to the ledger's leader.
 *
 * One call is in flight at a time; commands that are queued meanwhile are sent
 * as one batch by the next call. A failed call is retried at the next known
 * ledger instance, until the command's deadline.
 */
import {selectGrantsToRecall} from '@dogwoodtrestle/ledger';
import {
  type AdoptRequest,
  type Command,
  type GrantHolder,
  createParser,
  type QueryInput,
  type QueryReply,
  type QueryRequest,
  type Result,
  type SubmitReply,
  type SubmitRequest,
} from '@dogwoodtrestle/schema';

import {type Clock, sleep, systemClock} from '@dogwoodtrestle/runtime';
import {type Logger, silentLogger} from '@dogwoodtrestle/runtime';
import {type Metrics, silentMetrics} from '../util/metrics.js';
import {LeaderFinder} from './leaderFinder.js';
import {SentCommandTracker} from './sentCommandTracker.js';
import {type QueryAnswer, type QueryName} from './queries.js';
import {
  QuorumUnreachableError,
  type UnreachableOutcome,
} from './quorumUnreachableError.js';

/** Calls to one ledger instance; they reject if it is unreachable. */
export interface LedgerCalls {
  submit(
    address: string,
    request: SubmitRequest,
    timeoutMilliseconds: number,
  ): Promise<SubmitReply>;
  query(
    address: string,
    request: QueryRequest,
    timeoutMilliseconds: number,
  ): Promise<QueryReply>;
}

/** Options of a ledger client. */
export interface LedgerClientOptions {
  calls: LedgerCalls;
  /** Peer addresses of the known ledger instances, nearest first. */
  addresses: () => string[];
  /** Whether a failed call may have reached the other instance. */
  maybeReceived: (error: unknown) => boolean;
  /**
   * Asks holders to return unused grants; resolves with whether any of them was
   * reached. Without it, requests on an exhausted budget are refused at once.
   */
  recall?: (holders: GrantHolder[]) => Promise<boolean>;
  submitTimeoutMilliseconds: number;
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
  /** Maximum number of commands per call. */
  maximumBatch?: number;
  /** Maximum number of queued commands; more are rejected as not sent. */
  maximumQueue?: number;
  /** Delay before the next attempt after a call that found no leader. */
  retryMilliseconds?: number;
  /** Delay between probes of an unreachable quorum. */
  probeMilliseconds?: number;
}

const defaultOptions = {
  clock: systemClock,
  logger: silentLogger,
  metrics: silentMetrics,
  recall: async () => false,
  maximumBatch: 256,
  maximumQueue: 10_000,
  retryMilliseconds: 40,
  probeMilliseconds: 300,
};

const validateCommand = createParser('Command');

/** Result of a command, as the ledger answered it. */
interface CommandOutcome {
  result: Result;
  /** Whether an earlier copy of the command may have been applied. */
  resent: boolean;
}

/** A command that has no result yet. */
interface PendingCommand {
  command: Command;
  deadline: number;
  /** Whether a copy may have been applied although its answer was lost. */
  outcome: UnreachableOutcome;
  resolve: (answer: CommandOutcome) => void;
  reject: (error: Error) => void;
}

/** Client of the ledger. */
export class LedgerClient {
  private readonly options: Required<LedgerClientOptions>;
  private readonly leader: LeaderFinder;
  private readonly sentCommands = new SentCommandTracker();
  private queue: PendingCommand[] = [];
  private draining = false;
  private reachable = false;
  private stopped = false;
  private probing = false;
  private cancelProbe: (() => void) | undefined;

  constructor(options: LedgerClientOptions) {
    this.options = {...defaultOptions, ...options};
    this.leader = new LeaderFinder(() => this.options.addresses());
  }

  /** Whether the quorum answered the last call. */
  get connected(): boolean {
    return this.reachable;
  }

  /** Address of the instance that last answered as the leader. */
  get leaderAddress(): string | undefined {
    return this.reachable ? this.leader.current() : undefined;
  }

  /** Starts to search for the leader. */
  start(): void {
    this.stopped = false;
    void this.probe();
  }

  /** Rejects all queued commands. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.cancelProbe?.();
    for (const pending of this.queue.splice(0)) this.rejectPending(pending);
  }

  /**
   * Submits a command and resolves with its result once it is committed.
   *
   * @throws QuorumUnreachableError after `submitTimeoutMilliseconds`.
   * @throws TypeError if the command is invalid; sending it would fail its
   *     whole batch.
   */
  async submit(command: Command): Promise<Result> {
    this.sentCommands.recordSent(validateCommand(command));
    const {result: first, resent} = await this.enqueue(command);
    if (resent && command.kind === 'adoptRequest') {
      return this.resolveAdoption(command, first);
    }
    if (command.kind !== 'openRequest' || first.kind !== 'refused') {
      return first;
    }
    const fewest = selectGrantsToRecall(first, command.maximumCost);
    const second = await this.recallAndRetry(command, first, fewest);
    if (second.kind !== 'refused') return second;
    // These grants may be in use or unreachable, so the others are recalled too.
    const rest = (second.recallable ?? []).filter(
      ({grantId}) => !fewest.some(asked => asked.grantId === grantId),
    );
    return this.recallAndRetry(command, second, rest);
  }

  private async recallAndRetry(
    command: Command,
    result: Result,
    holders: GrantHolder[],
  ): Promise<Result> {
    if (holders.length === 0) return result;
    const recalled = await this.options.recall(holders);
    return recalled ? (await this.enqueue(command)).result : result;
  }

  /**
   * Runs a linearizable query.
   *
   * @throws QuorumUnreachableError after `submitTimeoutMilliseconds`.
   */
  async query<Q extends QueryName>(
    name: Q,
    input: QueryInput = {},
  ): Promise<QueryAnswer<Q>> {
    const {clock, calls, submitTimeoutMilliseconds} = this.options;
    const deadline = clock.now() + submitTimeoutMilliseconds;
    while (!this.stopped && clock.now() < deadline) {
      const reply = await this.callLeader(deadline, (address, timeout) =>
        calls.query(address, {name, input}, timeout),
      );
      if (reply?.kind === 'answer') {
        return reply.value as unknown as QueryAnswer<Q>;
      }
    }
    void this.probe();
    throw this.createUnreachableError('notSent');
  }

  /** Checks now whether the quorum is reachable. */
  async probe(): Promise<void> {
    if (this.probing) return;
    this.probing = true;
    await this.probeLeader();
    this.probing = false;
  }

  /**
   * Resolves the result of a resent adoption. If its first copy was applied, the
   * second is refused; the request's record shows whether this instance holds
   * the expected attempt.
   */
  private async resolveAdoption(
    command: AdoptRequest,
    result: Result,
  ): Promise<Result> {
    const {requestKey, expectedAttempt, holder} = command;
    const isSuperseded =
      result.kind === 'refused' && result.code === 'attemptSuperseded';
    if (!isSuperseded || !this.sentCommands.isSentOnce(command)) return result;
    const request = await this.query('request', {requestKey});
    if (request === undefined || !('attempt' in request)) return result;
    const {attempt} = request;
    const isOwn = request.holder === holder && attempt === expectedAttempt + 1;
    return isOwn ? {kind: 'opened', requestKey, attempt} : result;
  }

  private enqueue(command: Command): Promise<CommandOutcome> {
    const {clock, maximumQueue, submitTimeoutMilliseconds} = this.options;
    return new Promise((resolve, reject) => {
      const pending: PendingCommand = {
        command,
        deadline: clock.now() + submitTimeoutMilliseconds,
        outcome: 'notSent',
        resolve,
        reject,
      };
      if (this.stopped || this.queue.length >= maximumQueue) {
        this.rejectPending(pending);
        return;
      }
      this.queue.push(pending);
      void this.drainQueue();
    });
  }

  private async probeLeader(): Promise<void> {
    this.cancelProbe?.();
    this.cancelProbe = undefined;
    const {clock, calls, submitTimeoutMilliseconds} = this.options;
    const deadline = clock.now() + submitTimeoutMilliseconds;
    while (!this.stopped && clock.now() < deadline) {
      const reply = await this.callLeader(deadline, (address, timeout) =>
        calls.submit(address, {commands: []}, timeout),
      );
      if (reply?.kind === 'results') {
        this.sentCommands.recordLedgerTime(reply.ledgerTime);
        return;
      }
    }
    this.markUnreachable();
  }

  private async drainQueue(): Promise<void> {
    if (this.draining) return;
    this.draining = true;
    while (this.queue.length > 0) {
      const batch = this.queue.splice(0, this.options.maximumBatch);
      const unanswered = await this.sendBatch(batch);
      this.queue = [...this.dropExpired(unanswered), ...this.queue];
    }
    this.draining = false;
  }

  /** Makes one call; returns the commands that have no result yet. */
  private async sendBatch(batch: PendingCommand[]): Promise<PendingCommand[]> {
    const {calls, maybeReceived} = this.options;
    const commands = batch.map(({command}) => command);
    const deadline = Math.min(...batch.map(pending => pending.deadline));
    const reply = await this.callLeader(
      deadline,
      (address, timeout) => calls.submit(address, {commands}, timeout),
      error => {
        if (maybeReceived(error)) markUnknown(batch);
      },
    );
    if (reply?.kind === 'unknown') markUnknown(batch);
    if (reply?.kind !== 'results') return batch;
    this.sentCommands.recordLedgerTime(reply.ledgerTime);
    batch.forEach((pending, position) => {
      this.resolvePending(pending, reply.results[position]);
    });
    return [];
  }

  private resolvePending(
    pending: PendingCommand,
    result: Result | undefined,
  ): void {
    if (result === undefined) {
      this.rejectPending({...pending, outcome: 'unknown'});
      return;
    }
    const {command, outcome, resolve} = pending;
    const resent = outcome === 'unknown';
    resolve({
      result: this.sentCommands.resolveResult(command, result, resent),
      resent,
    });
  }

  /**
   * Calls the presumed leader. After a failed call, resolves with undefined once
   * the retry delay is over.
   */
  private async callLeader<R extends SubmitReply | QueryReply>(
    deadline: number,
    call: (address: string, timeoutMilliseconds: number) => Promise<R>,
    onError: (error: unknown) => void = () => {},
  ): Promise<R | undefined> {
    const {clock, logger, metrics, submitTimeoutMilliseconds} = this.options;
    const address = this.leader.current();
    if (address === undefined) return this.pause(deadline);
    const remaining = Math.max(1, deadline - clock.now());
    // Half of the timeout, so that time remains to retry if the leader hangs.
    const timeout = Math.min(remaining, submitTimeoutMilliseconds / 2);
    const startedAt = clock.now();
    try {
      const reply = await call(address, timeout);
      metrics.timing('ledger.call', clock.now() - startedAt);
      if (reply.kind === 'results' || reply.kind === 'answer') {
        this.markReachable(address);
        return reply;
      }
      await this.redirect(address, reply.leader, deadline);
      return reply;
    } catch (error) {
      logger.debug({err: error, address}, 'ledger call failed');
      onError(error);
      this.leader.markNotLeader(address);
      return this.pause(deadline);
    }
  }

  private async redirect(
    address: string,
    leader: string | undefined,
    deadline: number,
  ): Promise<void> {
    this.leader.markNotLeader(address);
    if (leader !== undefined && leader !== address) this.leader.set(leader);
    else await this.pause(deadline);
  }

  private async pause(deadline: number): Promise<undefined> {
    const {clock, retryMilliseconds} = this.options;
    const remaining = Math.max(0, deadline - clock.now());
    await sleep(clock, Math.min(remaining, retryMilliseconds));
    return undefined;
  }

  private dropExpired(batch: PendingCommand[]): PendingCommand[] {
    const now = this.options.clock.now();
    const remainingCommands = batch.filter(
      ({deadline}) => deadline > now && !this.stopped,
    );
    const expired = batch.filter(
      pending => !remainingCommands.includes(pending),
    );
    for (const pending of expired) this.rejectPending(pending);
    if (expired.length > 0) this.markUnreachable();
    return remainingCommands;
  }

  private rejectPending(pending: PendingCommand): void {
    pending.reject(this.createUnreachableError(pending.outcome));
  }

  private createUnreachableError(
    outcome: UnreachableOutcome,
  ): QuorumUnreachableError {
    return new QuorumUnreachableError("the ledger's quorum is unreachable", {
      props: {outcome},
    });
  }

  private markReachable(address: string): void {
    this.leader.set(address);
    if (!this.reachable) {
      this.options.logger.info({leader: address}, 'quorum reached');
    }
    this.reachable = true;
  }

  private markUnreachable(): void {
    const {clock, logger, metrics, probeMilliseconds} = this.options;
    if (this.reachable) logger.warn({}, 'quorum unreachable');
    this.reachable = false;
    metrics.increment('ledger.unreachable');
    if (this.stopped || this.cancelProbe !== undefined) return;
    this.cancelProbe = clock.setTimer(
      probeMilliseconds,
      () => void this.probe(),
    );
  }
}

function markUnknown(batch: PendingCommand[]): void {
  for (const pending of batch) pending.outcome = 'unknown';
}
