/**
 * @fileoverview Creates the durable record that must exist before a request is
 * sent to a backend server.
 *
 * The ledger's quorum records the request. If the quorum can't be reached, an
 * idempotent request is recorded in the journal of a grant instead.
 */
import {type Context} from '@opentelemetry/api';
import {
  type DuplicateResult,
  type OpenRequest,
  type RefusalCode,
  type RefusedResult,
} from '@dogwoodtrestle/schema';

import {
  QuorumUnreachableError,
  type UnreachableOutcome,
} from '../ledgerClient/index.js';
import {pause} from '../util/pause.js';
import {type RequestDependencies} from './dependencies.js';
import {type OpenedRequest} from './openedRequest.js';
import {
  refusal,
  type Refusal,
  RefusalError,
  type RefusalReason,
} from './refusal.js';
import {type RequestSettler} from './requestSettler.js';

/** Result of opening a request. */
export type OpenResult =
  | {kind: 'opened'; opened: OpenedRequest}
  | {kind: 'duplicate'; result: DuplicateResult}
  | {kind: 'staleContract'};

/** Refusal reasons for callers by the refusal code of the ledger. */
const refusalReasons: Partial<Record<RefusalCode, RefusalReason>> = {
  budgetExhausted: 'budgetExhausted',
  workspaceShareExhausted: 'workspaceShareExhausted',
  modelNotAllowed: 'modelNotAllowed',
  serviceNotAllowed: 'serviceNotAllowed',
  unknownCustomer: 'unknownKey',
  unknownWorkspace: 'unknownKey',
  contractRetired: 'contractRetired',
  keyReused: 'keyReused',
  keyTooOld: 'keyTooOld',
  rateLimited: 'rateLimited',
  concurrencyLimited: 'concurrencyLimited',
};

/** Interval at which a wait for released amounts retries, in milliseconds. */
const releasePollIntervalMilliseconds = 100;

/** Opens requests durably. */
export class RequestOpener {
  constructor(
    private readonly dependencies: RequestDependencies,
    private readonly settler: RequestSettler,
  ) {}

  /**
   * Opens a request. If the budget is exhausted but releases of other
   * reservations could cover the request, waits for them.
   *
   * @param waitMilliseconds Longest such wait, from the contract.
   * @throws RefusalError if the request must not run.
   */
  async open(
    request: OpenRequest,
    context: Context,
    waitMilliseconds: number,
  ): Promise<OpenResult> {
    const {now} = this.dependencies;
    const deadline = now() + waitMilliseconds;
    for (;;) {
      try {
        return await this.openOnce(request, context);
      } catch (error) {
        const remaining = deadline - now();
        if (remaining <= 0 || !isCoverable(error, request)) throw error;
        await pause(Math.min(remaining, releasePollIntervalMilliseconds));
      }
    }
  }

  private async openOnce(
    request: OpenRequest,
    context: Context,
  ): Promise<OpenResult> {
    const {tracing, metrics, now, ledger} = this.dependencies;
    const startedAt = now();
    if (!ledger.connected && request.idempotent) {
      const opening = await this.tryOpenOnGrant(request, context);
      if (opening !== undefined) return opening;
    }
    try {
      const result = await tracing.run(
        'router to ledger: open',
        context,
        {'request.key': request.requestKey},
        () => ledger.submit(request),
      );
      metrics.timing('ledger.open', now() - startedAt);
      switch (result.kind) {
        case 'opened':
          return {
            kind: 'opened',
            opened: {
              by: 'quorum',
              requestKey: request.requestKey,
              attempt: result.attempt,
              reserved: request.maximumCost,
            },
          };
        case 'duplicate':
          return {kind: 'duplicate', result};
        case 'refused':
          if (result.code === 'staleContract') return {kind: 'staleContract'};
          throw refusalFor(result);
        default:
          throw refusal('internalError');
      }
    } catch (error) {
      if (!(error instanceof QuorumUnreachableError)) throw error;
      return this.openWithoutQuorum(request, context, error);
    }
  }

  /**
   * Takes over a request from a holder that no longer runs.
   *
   * @returns `undefined` if the ledger refuses, for example because another
   *     instance has adopted the request.
   */
  async adopt(result: DuplicateResult): Promise<OpenedRequest | undefined> {
    const adopted = await this.dependencies.ledger.submit({
      kind: 'adoptRequest',
      requestKey: result.requestKey,
      expectedAttempt: result.attempt,
      holder: this.dependencies.holder,
    });
    return adopted.kind === 'opened'
      ? {
          by: 'quorum',
          requestKey: result.requestKey,
          attempt: adopted.attempt,
          reserved: 0,
        }
      : undefined;
  }

  /**
   * Opens a request on a grant if possible. Used while the quorum is known to
   * be unreachable, to avoid waiting for another timeout.
   */
  private async tryOpenOnGrant(
    request: OpenRequest,
    context: Context,
  ): Promise<OpenResult | undefined> {
    try {
      return await this.openOnGrant(request, context);
    } catch (error) {
      if (error instanceof RefusalError) return undefined;
      throw error;
    }
  }

  /**
   * Opens a request on a grant, or refuses it. If the quorum may have opened
   * the request that is now refused, its reservation is released.
   */
  private async openWithoutQuorum(
    request: OpenRequest,
    context: Context,
    error: Error,
  ): Promise<OpenResult> {
    const {outcome} = error as Error & {outcome: UnreachableOutcome};
    try {
      return await this.openOnGrant(request, context);
    } catch (refusalError) {
      if (outcome === 'unknown') {
        this.settler.release(request.requestKey, context);
      }
      throw refusalError;
    }
  }

  private async openOnGrant(
    request: OpenRequest,
    context: Context,
  ): Promise<OpenResult> {
    const {tracing, grants, metrics} = this.dependencies;
    if (!request.idempotent) {
      throw refusal('quorumUnreachable', {
        message:
          "The ledger's quorum can't be reached, and a call that must not be repeated never runs without it.",
      });
    }
    const result = await tracing.run(
      'router to journal: open',
      context,
      {'request.key': request.requestKey},
      () => grants.open(request),
    );
    switch (result.kind) {
      case 'opened':
        metrics.increment('grants.opened');
        return {
          kind: 'opened',
          opened: {
            by: 'grant',
            requestKey: request.requestKey,
            attempt: 1,
            reserved: request.maximumCost,
            grantId: result.grantId,
            sequence: result.sequence,
          },
        };
      case 'duplicate':
        return {
          kind: 'duplicate',
          result: {
            kind: 'duplicate',
            requestKey: request.requestKey,
            status: result.settled ? 'settled' : 'open',
            attempt: 1,
            holder: this.dependencies.holder,
            idempotent: true,
          },
        };
      case 'refused':
        throw refusal('quorumUnreachable', {
          message: `The ledger's quorum can't be reached, and ${result.reason}.`,
          inputs: {grant: result.reason},
        });
    }
  }
}

/** Whether releases of other reservations could cover a refused request. */
function isCoverable(error: unknown, {maximumCost}: OpenRequest): boolean {
  if (!(error instanceof RefusalError)) return false;
  const {reason, detail} = error as Refusal;
  if (reason !== 'budgetExhausted') return false;
  const {available = 0, reserved = 0} = (detail.inputs ?? {}) as {
    available?: number;
    reserved?: number;
  };
  return reserved > 0 && available + reserved >= maximumCost;
}

function refusalFor(result: RefusedResult): Refusal {
  const reason = refusalReasons[result.code] ?? 'internalError';
  const {available, reserved, recallable, code, retryAfterMilliseconds} =
    result;
  const mayBeReleased =
    reason === 'budgetExhausted' &&
    ((reserved ?? 0) > 0 || (recallable ?? []).length > 0);
  return refusal(reason, {
    didNotRun: reason === 'keyTooOld' ? false : true,
    inputs: {code, available, reserved, recallable},
    ...(mayBeReleased ? {retryAfterSeconds: 1} : {}),
    ...(retryAfterMilliseconds === undefined
      ? {}
      : {retryAfterSeconds: Math.ceil(retryAfterMilliseconds / 1000)}),
  });
}
