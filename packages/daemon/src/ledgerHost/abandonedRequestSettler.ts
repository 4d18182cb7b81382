/**
 * @fileoverview Settles open requests that nobody runs any more, while this
 * replica leads.
 *
 * A request is abandoned once it is older than a bound and its holder is gone
 * or says that it isn't running it. The backend servers are asked first; where
 * they can't tell, the request's unknown cost is billed with the outcome
 * `unknown`.
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

/** What backend servers tell of a request; cost in micros. */
export type BackendOutcome =
  | {kind: 'running'}
  | {kind: 'unknown'}
  | {
      kind: 'ended';
      outcome: RequestOutcome;
      cost: number;
      usage?: Usage;
      backend?: string;
      /** The answer, for a caller that comes back for it. */
      answer?: StoredAnswer;
    };

/** What settling abandoned requests needs. */
export interface AbandonedRequestSettlerOptions {
  isLeader: () => boolean;
  openRequests: () => OpenRequestRecord[];
  /** Ledger time in milliseconds. */
  ledgerTime: () => number;
  /** Peer address of a holder's process, if it is heard of. */
  holderAddress: (holder: string) => string | undefined;
  /** Asks a holder which requests it runs; rejects if it can't be reached. */
  running: (address: string, requestKeys: string[]) => Promise<string[]>;
  /** Asks backend servers what became of a request. */
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

const requestsPerQuestion = 1000;

/** Looks for abandoned requests and settles them. */
export class AbandonedRequestSettler {
  private readonly options: Required<AbandonedRequestSettlerOptions>;
  private readonly rounds: PeriodicTask;

  constructor(options: AbandonedRequestSettlerOptions) {
    this.options = {...defaultOptions, ...options};
    const {clock, logger, intervalMilliseconds} = this.options;
    this.rounds = new PeriodicTask({
      name: 'abandoned requests',
      clock,
      logger,
      intervalMilliseconds,
      run: () => this.runOnce(),
    });
  }

  start(): void {
    this.rounds.start();
  }

  async stop(): Promise<void> {
    await this.rounds.stop();
  }

  /** Settles what is abandoned now; public for tests. */
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
      const abandoned = await this.notRunning(holder, requests);
      for (const request of abandoned) await this.settle(request);
    }
  }

  private async notRunning(
    holder: string,
    requests: OpenRequestRecord[],
  ): Promise<OpenRequestRecord[]> {
    const {holderAddress, running, logger} = this.options;
    const address = holderAddress(holder);
    if (address === undefined) return requests;
    const asked = requests.slice(0, requestsPerQuestion);
    try {
      const keys = asked.map(({requestKey}) => requestKey);
      const busy = new Set(await running(address, keys));
      return asked.filter(({requestKey}) => !busy.has(requestKey));
    } catch (error) {
      logger.debug({err: error, holder}, 'holder not asked');
      return []; // heard of by others, so it may be running them
    }
  }

  private async settle(request: OpenRequestRecord): Promise<void> {
    const {queryBackends, submit, clock, logger, metrics} = this.options;
    const told = await queryBackends(request);
    if (told.kind === 'running') return;
    const ending =
      told.kind === 'ended'
        ? told
        : {outcome: 'unknown' as const, cost: request.unknownCost};
    const {outcome, cost, usage, backend, answer} = {
      usage: undefined,
      backend: undefined,
      answer: undefined,
      ...ending,
    };
    const stored = storableAnswer(answer);
    await submit({
      kind: 'settleRequest',
      requestKey: request.requestKey,
      attempt: request.attempt,
      cost,
      outcome,
      instance: request.holder,
      // Another instance may have taken the request over meanwhile.
      onlyHolder: true,
      attempts: 1,
      settledAt: Math.round(clock.wallNow()),
      ...(usage === undefined ? {} : {usage}),
      ...(backend === undefined ? {} : {backend}),
      ...(stored === undefined ? {} : {answer: stored}),
    });
    metrics.increment('requests.abandoned', 1, {outcome});
    const {requestKey, holder} = request;
    logger.warn(
      {requestKey, holder, outcome, cost, keepsAnswer: stored !== undefined},
      'abandoned request settled',
    );
  }
}
