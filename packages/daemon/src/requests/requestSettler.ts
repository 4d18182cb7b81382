/**
 * @fileoverview Bills requests, exactly once each.
 *
 * A settlement that can't reach the quorum is repeated in the background
 * until the ledger has it. Repeating is safe: the first settlement of a
 * request wins.
 */
import {type Context} from '@opentelemetry/api';
import {
  type JournalSettlement,
  type StoredAnswer,
} from '@dogwoodtrestle/schema';

import {pause} from '../util/pause.js';
import {type RequestDependencies} from './dependencies.js';
import {type OpenedRequest} from './openedRequest.js';

/** Pause between two tries to settle, in milliseconds. */
const retryPauseMilliseconds = 500;

type ConditionalSettlement = JournalSettlement & {onlyHolder?: boolean};

/** Settles opened requests. */
export class RequestSettler {
  /** Settlements that are being repeated, by request key. */
  private readonly unsettled = new Map<string, Promise<void>>();
  private stopping = false;

  constructor(private readonly dependencies: RequestDependencies) {}

  /**
   * Settles a request.
   *
   * @returns Whether the settlement is durable now. It goes on in the
   *     background where it isn't.
   */
  async settle(
    opened: OpenedRequest,
    settlement: Omit<JournalSettlement, 'settledAt'>,
    context: Context,
    answer?: StoredAnswer,
  ): Promise<boolean> {
    const full = {...settlement, settledAt: Date.now()};
    const [customer = ''] = opened.requestKey.split('/');
    const {grants} = this.dependencies;
    grants.observe(customer, settlement.cost, opened.reserved);
    if (opened.by === 'grant') {
      return this.settleOnGrant(opened, full, context);
    }
    try {
      await this.submit(opened, full, context, answer);
      return true;
    } catch {
      this.repeat(opened, full, context, answer);
      return false;
    }
  }

  /**
   * Releases a request that was never sent, but whose opening the ledger may
   * have committed without an answer.
   */
  release(requestKey: string, context: Context): void {
    const opened = {
      by: 'quorum',
      requestKey,
      attempt: 1,
      reserved: 0,
    } as const;
    const settlement = {cost: 0, outcome: 'didNotRun', attempts: 0} as const;
    // The key may be that of a request which another instance runs.
    const condition = {onlyHolder: true, settledAt: Date.now()};
    this.repeat(opened, {...settlement, ...condition}, context);
  }

  /** Whether the settlement of a request is being repeated. */
  isSettling(requestKey: string): boolean {
    return this.unsettled.has(requestKey);
  }

  private repeat(
    opened: OpenedRequest,
    settlement: ConditionalSettlement,
    context: Context,
    answer?: StoredAnswer,
  ): void {
    const {requestKey} = opened;
    const retry = this.retry(opened, settlement, context, answer);
    this.unsettled.set(requestKey, retry);
    void retry.finally(() => this.unsettled.delete(requestKey));
  }

  /** Resolves once nothing is left to settle, or the time is up. */
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
      logger.error({error, requestKey: opened.requestKey}, 'journal failed');
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

  private async retry(
    opened: OpenedRequest,
    settlement: ConditionalSettlement,
    context: Context,
    answer: StoredAnswer | undefined,
  ): Promise<void> {
    while (!this.stopping) {
      await pause(retryPauseMilliseconds);
      try {
        await this.submit(opened, settlement, context, answer);
        return;
      } catch {
        // The quorum is still out of reach; the reservation covers the cost.
      }
    }
  }
}
