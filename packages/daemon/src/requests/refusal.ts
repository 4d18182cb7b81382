/**
 * @fileoverview Errors that callers see, in the shape of the OpenAI protocol.
 *
 * Each code has one row with its HTTP status, text and whether the request
 * is known not to have run.
 */
import ModernError from 'modern-errors';

import {
  QuorumUnreachableError,
  type UnreachableOutcome,
} from '../ledgerClient/index.js';

/** Whether a refused request is known not to have run. */
export type DidNotRun = true | false | 'unknown';

interface RefusalRow {
  status: number;
  type: string;
  message: string;
  didNotRun: DidNotRun;
  /** Seconds after which coming back makes sense. */
  retryAfterSeconds?: number;
}

const invalid = 'invalid_request_error';
const unavailable = 'service_unavailable_error';

/** Status, text and truth of each refusal. */
export const refusalTable = {
  invalidJson: {
    status: 400,
    type: invalid,
    message: 'The body is not valid JSON.',
    didNotRun: true,
  },
  invalidRequest: {
    status: 400,
    type: invalid,
    message: 'The request is not valid.',
    didNotRun: true,
  },
  unsupportedContent: {
    status: 400,
    type: invalid,
    message: 'Only text content has a cost that can be bounded.',
    didNotRun: true,
  },
  idempotencyKeyRequired: {
    status: 400,
    type: invalid,
    message:
      'This call must not be repeated, so it needs an Idempotency-Key header.',
    didNotRun: true,
  },
  missingKey: {
    status: 401,
    type: 'authentication_error',
    message: 'The request carries no bearer key.',
    didNotRun: true,
  },
  unknownKey: {
    status: 401,
    type: 'authentication_error',
    message: 'The bearer key belongs to no workspace.',
    didNotRun: true,
  },
  budgetExhausted: {
    status: 402,
    type: 'insufficient_quota',
    message:
      'The prepaid budget does not cover the largest possible cost of this request.',
    didNotRun: true,
  },
  workspaceShareExhausted: {
    status: 402,
    type: 'insufficient_quota',
    message:
      "The workspace's share of the budget does not cover the largest possible cost of this request.",
    didNotRun: true,
  },
  contractRetired: {
    status: 403,
    type: 'permission_error',
    message: 'The contract has been retired.',
    didNotRun: true,
  },
  modelNotAllowed: {
    status: 404,
    type: invalid,
    message: 'The contract does not include this model.',
    didNotRun: true,
  },
  serviceNotAllowed: {
    status: 404,
    type: invalid,
    message: 'The contract does not include this service.',
    didNotRun: true,
  },
  notFound: {
    status: 404,
    type: invalid,
    message: 'There is no such resource.',
    didNotRun: true,
  },
  bodyTimeout: {
    status: 408,
    type: invalid,
    message: 'The body did not arrive in time.',
    didNotRun: true,
  },
  requestRunning: {
    status: 409,
    type: 'conflict_error',
    message: 'The request with this key is still running.',
    didNotRun: 'unknown',
    retryAfterSeconds: 1,
  },
  answerNotKept: {
    status: 409,
    type: 'conflict_error',
    message:
      'The request with this key has finished and was billed; its answer is no longer kept.',
    didNotRun: false,
  },
  keyReused: {
    status: 422,
    type: invalid,
    message: 'The Idempotency-Key was used for a request with other contents.',
    didNotRun: true,
  },
  keyTooOld: {
    status: 409,
    type: 'conflict_error',
    message:
      'The Idempotency-Key belongs to a request that finished too long ago to repeat its answer.',
    didNotRun: false,
  },
  bodyTooLarge: {
    status: 413,
    type: invalid,
    message: 'The body is larger than allowed.',
    didNotRun: true,
  },
  unsupportedMediaType: {
    status: 415,
    type: invalid,
    message: 'The content type must be application/json.',
    didNotRun: true,
  },
  rateLimited: {
    status: 429,
    type: 'rate_limit_error',
    message: 'The rate limit of the contract has been reached.',
    didNotRun: true,
    retryAfterSeconds: 1,
  },
  concurrencyLimited: {
    status: 429,
    type: 'rate_limit_error',
    message: 'The limit of concurrent requests has been reached.',
    didNotRun: true,
    retryAfterSeconds: 1,
  },
  overloaded: {
    status: 503,
    type: unavailable,
    message: 'There is no capacity for this request now.',
    didNotRun: true,
    retryAfterSeconds: 2,
  },
  noBackend: {
    status: 503,
    type: unavailable,
    message: 'No backend server offers this now.',
    didNotRun: true,
    retryAfterSeconds: 2,
  },
  quorumUnreachable: {
    status: 503,
    type: unavailable,
    message:
      "The ledger's quorum can't be reached and no grant covers this request.",
    didNotRun: true,
    retryAfterSeconds: 5,
  },
  leaving: {
    status: 503,
    type: unavailable,
    message: 'This instance is shutting down.',
    didNotRun: true,
    retryAfterSeconds: 1,
  },
  backendFailed: {
    status: 502,
    type: 'backend_error',
    message: 'The backend server failed before the answer was whole.',
    didNotRun: false,
    retryAfterSeconds: 1,
  },
  outcomeUnknown: {
    status: 502,
    type: 'backend_error',
    message:
      "The outcome of the call isn't known. Repeat it with the same Idempotency-Key to learn it.",
    didNotRun: 'unknown',
    retryAfterSeconds: 5,
  },
  deadlineExceeded: {
    status: 504,
    type: 'timeout_error',
    message: 'The request took longer than allowed.',
    didNotRun: false,
    retryAfterSeconds: 1,
  },
  callerLeft: {
    status: 499,
    type: 'client_closed_request',
    message: 'The caller closed the connection before the answer was whole.',
    didNotRun: false,
  },
  internalError: {
    status: 500,
    type: 'server_error',
    message: 'The router failed.',
    didNotRun: 'unknown',
  },
} as const satisfies Record<string, RefusalRow>;

/** Stable code of a refusal. */
export type RefusalReason = keyof typeof refusalTable;

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
