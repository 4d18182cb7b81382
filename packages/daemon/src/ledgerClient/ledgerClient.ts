/**
 * @fileoverview Sends commands and queries to the ledger's leader.
 *
 * One call is under way at a time; the commands that queue meanwhile travel
 * together in the next one. A call that fails goes to the next known ledger
 * instance, until the command's deadline.
 */
import {grantsToRecall} from '@dogwoodtrestle/ledger';
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
import {OpenTracker} from './openTracker.js';
import {type QueryAnswer, type QueryName} from './queries.js';
import {
  QuorumUnreachableError,
  type UnreachableOutcome,
} from './quorumUnreachableError.js';

/** Calls to one ledger instance. They reject if it can't be reached. */
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

/** What a ledger client needs. */
export interface LedgerClientOptions {
  calls: LedgerCalls;
  /** Peer addresses of the known ledger instances, nearest first. */
  addresses: () => string[];
  /** Whether a failed call may have reached the other instance. */
  maybeReceived: (error: unknown) => boolean;
  /**
   * Asks holders to return what they don't use; resolves with whether any of
   * them could be asked. Without it exhausted budgets are refused at once.
   */
  recall?: (holders: GrantHolder[]) => Promise<boolean>;
  submitTimeoutMilliseconds: number;
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
  /** Commands that one call carries at most. */
  maximumBatch?: number;
  /** Commands that may wait; more are refused as not sent. */
  maximumQueue?: number;
  /** Pause before the next try after an instance wasn't the leader. */
  retryMilliseconds?: number;
  /** Pause between attempts to reach a quorum that was out of reach. */
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

const checkCommand = createParser('Command');

/** Result of a command. */
interface Answer {
  result: Result;
  /** Whether an earlier copy may have been applied. */
  resent: boolean;
}

/** A command on its way. */
interface PendingCommand {
  command: Command;
  deadline: number;
  /** Whether a copy may have been applied without an answer. */
  outcome: UnreachableOutcome;
  resolve: (answer: Answer) => void;
  reject: (error: Error) => void;
}

/** Client of the ledger. */
export class LedgerClient {
  private readonly options: Required<LedgerClientOptions>;
  private readonly leader: LeaderFinder;
  private readonly opens = new OpenTracker();
  private queue: PendingCommand[] = [];
  private pumping = false;
  private reachable = false;
  private stopped = false;
  private probing = false;
  private cancelProbe: (() => void) | undefined;

  constructor(options: LedgerClientOptions) {
    this.options = {...defaultOptions, ...options};
    this.leader = new LeaderFinder(() => this.options.addresses());
  }

  /** Whether the quorum answered when it was last asked. */
  get connected(): boolean {
    return this.reachable;
  }

  /** Address of the instance that last answered as the leader. */
  get leaderAddress(): string | undefined {
    return this.reachable ? this.leader.current() : undefined;
  }

  /** Starts to look for the leader. */
  start(): void {
    this.stopped = false;
    void this.probe();
  }

  /** Gives up all waiting commands. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.cancelProbe?.();
    for (const pending of this.queue.splice(0)) this.giveUp(pending);
  }

  /**
   * Submits a command and resolves with its result once it is committed.
   *
   * @throws QuorumUnreachableError after `submitTimeoutMilliseconds`, and
   *     TypeError on an invalid command, which would spoil its whole batch.
   */
  async submit(command: Command): Promise<Result> {
    this.opens.noteSent(checkCommand(command));
    const {result: first, resent} = await this.enqueue(command);
    if (resent && command.kind === 'adoptRequest') {
      return this.adoptionOf(command, first);
    }
    if (command.kind !== 'openRequest' || first.kind !== 'refused') {
      return first;
    }
    const few = grantsToRecall(first, command.maximumCost);
    const second = await this.recallAndRetry(command, first, few);
    if (second.kind !== 'refused') return second;
    // Those may be in use or out of reach, so the others are asked as well.
    const rest = (second.recallable ?? []).filter(
      ({grantId}) => !few.some(asked => asked.grantId === grantId),
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
   * Reads from the ledger, linearizably.
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
    throw this.unreachable('notSent');
  }

  /** Asks at once whether the quorum can be reached. */
  async probe(): Promise<void> {
    if (this.probing) return;
    this.probing = true;
    await this.askLeader();
    this.probing = false;
  }

  /**
   * An adoption whose first copy was applied is refused when it is sent again;
   * the request itself tells whether this instance holds it.
   */
  private async adoptionOf(
    command: AdoptRequest,
    result: Result,
  ): Promise<Result> {
    const {requestKey, expectedAttempt, holder} = command;
    const isSuperseded =
      result.kind === 'refused' && result.code === 'attemptSuperseded';
    if (!isSuperseded || !this.opens.isOnlyOne(command)) return result;
    const request = await this.query('request', {requestKey});
    if (request === undefined || !('attempt' in request)) return result;
    const {attempt} = request;
    const isOwn = request.holder === holder && attempt === expectedAttempt + 1;
    return isOwn ? {kind: 'opened', requestKey, attempt} : result;
  }

  private enqueue(command: Command): Promise<Answer> {
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
        this.giveUp(pending);
        return;
      }
      this.queue.push(pending);
      void this.pump();
    });
  }

  private async askLeader(): Promise<void> {
    this.cancelProbe?.();
    this.cancelProbe = undefined;
    const {clock, calls, submitTimeoutMilliseconds} = this.options;
    const deadline = clock.now() + submitTimeoutMilliseconds;
    while (!this.stopped && clock.now() < deadline) {
      const reply = await this.callLeader(deadline, (address, timeout) =>
        calls.submit(address, {commands: []}, timeout),
      );
      if (reply?.kind === 'results') {
        this.opens.noteLedgerTime(reply.ledgerTime);
        return;
      }
    }
    this.noteUnreachable();
  }

  private async pump(): Promise<void> {
    if (this.pumping) return;
    this.pumping = true;
    while (this.queue.length > 0) {
      const batch = this.queue.splice(0, this.options.maximumBatch);
      const unanswered = await this.exchange(batch);
      this.queue = [...this.dropExpired(unanswered), ...this.queue];
    }
    this.pumping = false;
  }

  /** Makes one call; returns the commands that are still without an answer. */
  private async exchange(batch: PendingCommand[]): Promise<PendingCommand[]> {
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
    this.opens.noteLedgerTime(reply.ledgerTime);
    batch.forEach((pending, position) => {
      this.finish(pending, reply.results[position]);
    });
    return [];
  }

  private finish(pending: PendingCommand, result: Result | undefined): void {
    if (result === undefined) {
      this.giveUp({...pending, outcome: 'unknown'});
      return;
    }
    const {command, outcome, resolve} = pending;
    const resent = outcome === 'unknown';
    resolve({result: this.opens.resultOf(command, result, resent), resent});
  }

  /**
   * Calls the instance that is thought to lead. Resolves with undefined after
   * a failed call, once it makes sense to try again.
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
    // Half of the time, so that a frozen leader leaves room for another try.
    const timeout = Math.min(remaining, submitTimeoutMilliseconds / 2);
    const startedAt = clock.now();
    try {
      const reply = await call(address, timeout);
      metrics.timing('ledger.call', clock.now() - startedAt);
      if (reply.kind === 'results' || reply.kind === 'answer') {
        this.noteReachable(address);
        return reply;
      }
      await this.redirect(address, reply.leader, deadline);
      return reply;
    } catch (error) {
      logger.debug({err: error, address}, 'ledger call failed');
      onError(error);
      this.leader.leave(address);
      return this.pause(deadline);
    }
  }

  private async redirect(
    address: string,
    leader: string | undefined,
    deadline: number,
  ): Promise<void> {
    this.leader.leave(address);
    if (leader !== undefined && leader !== address) this.leader.follow(leader);
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
    const live = batch.filter(({deadline}) => deadline > now && !this.stopped);
    const expired = batch.filter(pending => !live.includes(pending));
    for (const pending of expired) this.giveUp(pending);
    if (expired.length > 0) this.noteUnreachable();
    return live;
  }

  private giveUp(pending: PendingCommand): void {
    pending.reject(this.unreachable(pending.outcome));
  }

  private unreachable(outcome: UnreachableOutcome): QuorumUnreachableError {
    return new QuorumUnreachableError("the ledger's quorum is out of reach", {
      props: {outcome},
    });
  }

  private noteReachable(address: string): void {
    this.leader.follow(address);
    if (!this.reachable) {
      this.options.logger.info({leader: address}, 'quorum reached');
    }
    this.reachable = true;
  }

  private noteUnreachable(): void {
    const {clock, logger, metrics, probeMilliseconds} = this.options;
    if (this.reachable) logger.warn({}, 'quorum out of reach');
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
