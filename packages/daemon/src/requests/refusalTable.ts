/**
 * @fileoverview Refusals that callers may get, one row for each code.
 */

/** Whether a refused request is known not to have run. */
export type DidNotRun = true | false | 'unknown';

/** HTTP status, error type and message of one refusal. */
export interface RefusalRow {
  status: number;
  type: string;
  message: string;
  didNotRun: DidNotRun;
  /** Seconds after which to retry. */
  retryAfterSeconds?: number;
}

const invalidRequestType = 'invalid_request_error';
const unavailableType = 'service_unavailable_error';

/** Refusals by their code. */
export const refusalTable = {
  invalidJson: {
    status: 400,
    type: invalidRequestType,
    message: 'The body is not valid JSON.',
    didNotRun: true,
  },
  invalidRequest: {
    status: 400,
    type: invalidRequestType,
    message: 'The request is not valid.',
    didNotRun: true,
  },
  unsupportedContent: {
    status: 400,
    type: invalidRequestType,
    message: 'Only text content has a cost that can be bounded.',
    didNotRun: true,
  },
  idempotencyKeyRequired: {
    status: 400,
    type: invalidRequestType,
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
    type: invalidRequestType,
    message: 'The contract does not include this model.',
    didNotRun: true,
  },
  serviceNotAllowed: {
    status: 404,
    type: invalidRequestType,
    message: 'The contract does not include this service.',
    didNotRun: true,
  },
  notFound: {
    status: 404,
    type: invalidRequestType,
    message: 'There is no such resource.',
    didNotRun: true,
  },
  bodyTimeout: {
    status: 408,
    type: invalidRequestType,
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
    type: invalidRequestType,
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
    type: invalidRequestType,
    message: 'The body is larger than allowed.',
    didNotRun: true,
  },
  unsupportedMediaType: {
    status: 415,
    type: invalidRequestType,
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
    type: unavailableType,
    message: 'There is no capacity for this request now.',
    didNotRun: true,
    retryAfterSeconds: 2,
  },
  noBackend: {
    status: 503,
    type: unavailableType,
    message: 'No backend server offers this now.',
    didNotRun: true,
    retryAfterSeconds: 2,
  },
  quorumUnreachable: {
    status: 503,
    type: unavailableType,
    message:
      "The ledger's quorum can't be reached and no grant covers this request.",
    didNotRun: true,
    retryAfterSeconds: 5,
  },
  leaving: {
    status: 503,
    type: unavailableType,
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

/** Stable code of a refusal, as callers get it. */
export type RefusalReason = keyof typeof refusalTable;
