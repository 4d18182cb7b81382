/**
 * @fileoverview Errors returned to callers, in the format of the OpenAI
 * protocol.
 *
 * Each code has one row in `refusalTable` with its HTTP status, its message and
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

/** Values that add to or replace those of a refusal's row. */
export interface RefusalDetail {
  /** Replaces the message of the row. */
  message?: string;
  didNotRun?: DidNotRun;
  retryAfterSeconds?: number;
  /** Field of the request that the refusal is about. */
  param?: string;
  /** Inputs of the decision, for `dogwoodctl explain`. */
  inputs?: Record<string, unknown>;
}

/** A request that ends without a complete response. */
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

/** Creates a refusal with a code. */
export function refusal(
  reason: RefusalReason,
  detail: RefusalDetail = {},
): Refusal {
  return new RefusalError(detail.message ?? refusalTable[reason].message, {
    props: {reason, detail},
  });
}

/**
 * Converts an error to the refusal that the caller gets. An unexpected error
 * becomes `internalError`.
 */
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

/** Returns the HTTP status of a refusal. */
export function statusOf({reason}: Refusal): number {
  return refusalTable[reason].status;
}

/** Returns whether a refused request is known not to have run. */
export function didNotRunOf({reason, detail}: Refusal): DidNotRun {
  return detail.didNotRun ?? refusalTable[reason].didNotRun;
}

/** Returns the seconds after which to retry, if a retry can succeed. */
export function retryAfterOf({reason, detail}: Refusal): number | undefined {
  const row: RefusalRow = refusalTable[reason];
  return detail.retryAfterSeconds ?? row.retryAfterSeconds;
}

/** Returns the body of the error response for a refusal. */
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
