/**
 * @fileoverview Settles abandoned requests while this replica is the leader.
 *
 * A request is abandoned once it is older than a limit and its holder is not
 * alive or reports that it isn't running it. The backend servers are queried
 * first; if they don't know the outcome, the request's unknown cost is billed
 * with the outcome `unknown`.
 */
import {type OpenRequestRecord} from '@dogwoodtrestle/ledger';
import {
  type Command,
  type RequestOutcome,
  type StoredAnswer,
  type Usage,
} from '@dogwoodtrestle/schema';

import {type Clock, systemClock} from '@dogwoodtrestle/runtime';
import {type Logger, silentLogger} from '@dogwoodtrestle/runtime';
import {type Metrics, silentMetrics} from '../util/metrics.js';
import {storableAnswer} from '../util/readBack.js';
import {PeriodicTask} from '@dogwoodtrestle/runtime';

/** Outcome of a request as reported by backend servers; cost in micros. */
export type BackendOutcome =
  | {kind: 'running'}
  | {kind: 'unknown'}
  | {
      kind: 'ended';
      outcome: RequestOutcome;
      cost: number;
      usage?: Usage;
      backend?: string;
      /** The answer, kept for a caller that retrieves it later. */
      answer?: StoredAnswer;
    };

/** Options of the settler. */
export interface AbandonedRequestSettlerOptions {
  isLeader: () => boolean;
  openRequests: () => OpenRequestRecord[];
  /** Ledger time in milliseconds. */
  ledgerTime: () => number;
  /** Peer address of a holder's process, if it is known to be alive. */
  holderAddress: (holder: string) => string | undefined;
  /** Asks a holder which requests it is running; rejects if unreachable. */
  running: (address: string, requestKeys: string[]) => Promise<string[]>;
  /** Queries backend servers for the outcome of a request. */
  queryBackends: (request: OpenRequestRecord) => Promise<BackendOutcome>;
  submit: (command: Command) => Promise<unknown>;
  abandonedAfterMilliseconds: number;
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
  intervalMilliseconds?: number;
}

const defaultOptions = {
  clock: systemClock,
  logger: silentLogger,
  metrics: silentMetrics,
  intervalMilliseconds: 5000,
};

const maxRequestsPerQuery = 1000;

/** Finds and settles abandoned requests periodically. */
export class AbandonedRequestSettler {
  private readonly options: Required<AbandonedRequestSettlerOptions>;
  private readonly task: PeriodicTask;

  constructor(options: AbandonedRequestSettlerOptions) {
    this.options = {...defaultOptions, ...options};
    const {clock, logger, intervalMilliseconds} = this.options;
    this.task = new PeriodicTask({
      name: 'abandoned requests',
      clock,
      logger,
      intervalMilliseconds,
      run: () => this.runOnce(),
    });
  }

  start(): void {
    this.task.start();
  }

  async stop(): Promise<void> {
    await this.task.stop();
  }

  /** Settles all requests that are abandoned now; public for tests. */
  async runOnce(): Promise<void> {
    const {isLeader, openRequests, ledgerTime} = this.options;
    if (!isLeader()) return;
    const {abandonedAfterMilliseconds} = this.options;
    const openedBefore = ledgerTime() - abandonedAfterMilliseconds;
    const byHolder = new Map<string, OpenRequestRecord[]>();
    for (const request of openRequests()) {
      if (request.openedAt > openedBefore) continue;
      const {holder} = request;
      byHolder.set(holder, [...(byHolder.get(holder) ?? []), request]);
    }
    for (const [holder, requests] of byHolder) {
      const abandoned = await this.selectAbandoned(holder, requests);
      for (const request of abandoned) await this.settle(request);
    }
  }

  private async selectAbandoned(
    holder: string,
    requests: OpenRequestRecord[],
  ): Promise<OpenRequestRecord[]> {
    const {holderAddress, running, logger} = this.options;
    const address = holderAddress(holder);
    if (address === undefined) return requests;
    const queried = requests.slice(0, maxRequestsPerQuery);
    try {
      const keys = queried.map(({requestKey}) => requestKey);
      const runningKeys = new Set(await running(address, keys));
      return queried.filter(({requestKey}) => !runningKeys.has(requestKey));
    } catch (error) {
      logger.debug({err: error, holder}, 'query for running requests failed');
      return []; // the holder is alive and may be running them
    }
  }

  private async settle(request: OpenRequestRecord): Promise<void> {
    const {queryBackends, submit, clock, logger, metrics} = this.options;
    const reported = await queryBackends(request);
    if (reported.kind === 'running') return;
    const result =
      reported.kind === 'ended'
        ? reported
        : {outcome: 'unknown' as const, cost: request.unknownCost};
    const {outcome, cost, usage, backend, answer} = {
      usage: undefined,
      backend: undefined,
      answer: undefined,
      ...result,
    };
    const storedAnswer = storableAnswer(answer);
    await submit({
      kind: 'settleRequest',
      requestKey: request.requestKey,
      attempt: request.attempt,
      cost,
      outcome,
      instance: request.holder,
      // Another instance may have adopted the request in the meantime.
      onlyHolder: true,
      attempts: 1,
      settledAt: Math.round(clock.wallNow()),
      ...(usage === undefined ? {} : {usage}),
      ...(backend === undefined ? {} : {backend}),
      ...(storedAnswer === undefined ? {} : {answer: storedAnswer}),
    });
    metrics.increment('requests.abandoned', 1, {outcome});
    const {requestKey, holder} = request;
    logger.warn(
      {
        requestKey,
        holder,
        outcome,
        cost,
        keepsAnswer: storedAnswer !== undefined,
      },
      'abandoned request settled',
    );
  }
}
