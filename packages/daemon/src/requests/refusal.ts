/**
 * @fileoverview Errors that callers see, in the shape of the OpenAI protocol.
 *
 * Each code has one row in `refusalTable`, with its HTTP status, text and
 * whether the request is known not to have run.
 */
import ModernError from 'modern-errors';

import {
  QuorumUnreachableError,
  type UnreachableOutcome,
} from '../ledgerClient/index.js';
import {
  type DidNotRun,
  type RefusalReason,
  type RefusalRow,
  refusalTable,
} from './refusalTable.js';

export {type DidNotRun, type RefusalReason} from './refusalTable.js';

/** What may be said beyond the row of a refusal. */
export interface RefusalDetail {
  /** Replaces the text of the row. */
  message?: string;
  didNotRun?: DidNotRun;
  retryAfterSeconds?: number;
  /** Field of the request that the refusal is about. */
  param?: string;
  /** Inputs of the decision, for `dogwoodctl explain`. */
  inputs?: Record<string, unknown>;
}

/** A request that ends without the answer that was asked for. */
export const RefusalError = ModernError.subclass('RefusalError', {
  props: {
    reason: 'internalError' as RefusalReason,
    detail: {},
  },
});

/** An instance of `RefusalError`. */
export interface Refusal extends Error {
  reason: RefusalReason;
  detail: RefusalDetail;
}

/** Creates a refusal for its code. */
export function refusal(
  reason: RefusalReason,
  detail: RefusalDetail = {},
): Refusal {
  return new RefusalError(detail.message ?? refusalTable[reason].message, {
    props: {reason, detail},
  });
}

/** Returns what callers are told of an error. */
export function refusalOf(error: unknown): Refusal {
  if (error instanceof RefusalError) return error;
  if (error instanceof QuorumUnreachableError) {
    const {outcome} = error as {outcome: UnreachableOutcome};
    return refusal('quorumUnreachable', {
      didNotRun: outcome === 'notSent' ? true : 'unknown',
    });
  }
  return refusal('internalError');
}

/** HTTP status of a refusal. */
export function statusOf({reason}: Refusal): number {
  return refusalTable[reason].status;
}

/** Whether a refused request is known not to have run. */
export function didNotRunOf({reason, detail}: Refusal): DidNotRun {
  return detail.didNotRun ?? refusalTable[reason].didNotRun;
}

/** Seconds after which coming back makes sense, if it does. */
export function retryAfterOf({reason, detail}: Refusal): number | undefined {
  const row: RefusalRow = refusalTable[reason];
  return detail.retryAfterSeconds ?? row.retryAfterSeconds;
}

/** Renders a refusal as the body of an error answer. */
export function refusalBody(error: Refusal, requestId: string): object {
  return {
    error: {
      message: error.message,
      type: refusalTable[error.reason].type,
      code: error.reason,
      param: error.detail.param ?? null,
      didNotRun: didNotRunOf(error),
      request_id: requestId,
    },
  };
}
