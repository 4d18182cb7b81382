/**
 * @fileoverview Settles requests, so that each is billed exactly once.
 *
 * A settlement that can't reach the quorum is retried in the background until
 * the ledger has recorded it. Retrying is safe, because only the first
 * settlement of a request takes effect.
 */
import {type Context} from '@opentelemetry/api';
import {
  type JournalSettlement,
  type StoredAnswer,
} from '@dogwoodtrestle/schema';

import {pause} from '../util/pause.js';
import {type RequestDependencies} from './dependencies.js';
import {type OpenedRequest} from './openedRequest.js';

/** Interval between two retries of a settlement, in milliseconds. */
const retryIntervalMilliseconds = 500;

type ConditionalSettlement = JournalSettlement & {onlyHolder?: boolean};

/** Settles opened requests. */
export class RequestSettler {
  /** Settlements that are retried in the background, by request key. */
  private readonly unsettled = new Map<string, Promise<void>>();
  private stopping = false;

  constructor(private readonly dependencies: RequestDependencies) {}

  /**
   * Settles a request.
   *
   * @param answer Response to store with the settlement.
   * @returns Whether the settlement is durable now. A settlement that could not
   *     reach the quorum is retried in the background.
   */
  async settle(
    opened: OpenedRequest,
    settlement: Omit<JournalSettlement, 'settledAt'>,
    context: Context,
    answer?: StoredAnswer,
  ): Promise<boolean> {
    const timestamped = {...settlement, settledAt: Date.now()};
    const [customer = ''] = opened.requestKey.split('/');
    const {grants} = this.dependencies;
    grants.observe(customer, settlement.cost, opened.reserved);
    if (opened.by === 'grant') {
      return this.settleOnGrant(opened, timestamped, context);
    }
    try {
      await this.submit(opened, timestamped, context, answer);
      return true;
    } catch {
      this.retryInBackground(opened, timestamped, context, answer);
      return false;
    }
  }

  /**
   * Releases the reservation of a request that was never sent, but whose
   * opening the ledger may have committed although no result arrived.
   */
  release(requestKey: string, context: Context): void {
    const opened = {
      by: 'quorum',
      requestKey,
      attempt: 1,
      reserved: 0,
    } as const;
    const settlement = {cost: 0, outcome: 'didNotRun', attempts: 0} as const;
    // Another instance may be running a request with this key.
    const condition = {onlyHolder: true, settledAt: Date.now()};
    this.retryInBackground(opened, {...settlement, ...condition}, context);
  }

  /** Whether the settlement of a request is retried in the background. */
  isSettling(requestKey: string): boolean {
    return this.unsettled.has(requestKey);
  }

  private retryInBackground(
    opened: OpenedRequest,
    settlement: ConditionalSettlement,
    context: Context,
    answer?: StoredAnswer,
  ): void {
    const {requestKey} = opened;
    const retry = this.retryUntilSettled(opened, settlement, context, answer);
    this.unsettled.set(requestKey, retry);
    void retry.finally(() => this.unsettled.delete(requestKey));
  }

  /**
   * Waits until all settlements are recorded or the time is up, then stops the
   * retries.
   *
   * @param milliseconds Longest wait, in milliseconds.
   * @returns Number of settlements that are not recorded.
   */
  async drain(milliseconds: number): Promise<number> {
    const timeout = new Promise<void>(resolve => {
      setTimeout(resolve, milliseconds).unref();
    });
    await Promise.race([Promise.all(this.unsettled.values()), timeout]);
    this.stopping = true;
    return this.unsettled.size;
  }

  private async settleOnGrant(
    opened: Extract<OpenedRequest, {by: 'grant'}>,
    settlement: JournalSettlement,
    context: Context,
  ): Promise<boolean> {
    const {tracing, grants, logger} = this.dependencies;
    try {
      await tracing.run(
        'router to journal: settle',
        context,
        {'request.key': opened.requestKey},
        () => grants.settle(opened.grantId, opened.sequence, settlement),
      );
      return true;
    } catch (error) {
      logger.error(
        {error, requestKey: opened.requestKey},
        'could not record the settlement in the journal',
      );
      return false;
    }
  }

  private async submit(
    opened: OpenedRequest,
    settlement: ConditionalSettlement,
    context: Context,
    answer: StoredAnswer | undefined,
  ): Promise<void> {
    const {tracing, ledger, holder, metrics, now} = this.dependencies;
    const startedAt = now();
    await tracing.run(
      'router to ledger: settle',
      context,
      {'request.key': opened.requestKey, cost: settlement.cost},
      () =>
        ledger.submit({
          kind: 'settleRequest',
          requestKey: opened.requestKey,
          attempt: opened.attempt,
          instance: holder,
          ...settlement,
          ...(answer === undefined ? {} : {answer}),
        }),
    );
    metrics.timing('ledger.settle', now() - startedAt);
  }

  private async retryUntilSettled(
    opened: OpenedRequest,
    settlement: ConditionalSettlement,
    context: Context,
    answer: StoredAnswer | undefined,
  ): Promise<void> {
    while (!this.stopping) {
      await pause(retryIntervalMilliseconds);
      try {
        await this.submit(opened, settlement, context, answer);
        return;
      } catch {
        // Still unreachable; the reservation covers the cost until a retry works.
      }
    }
  }
}
