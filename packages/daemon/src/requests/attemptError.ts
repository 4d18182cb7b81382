/**
 * @fileoverview Errors of attempts at backend servers.
 */
import ModernError from 'modern-errors';

/** Why an attempt failed. */
export type AttemptFailure =
  | 'connect'
  | 'status'
  | 'rejected'
  | 'dropped'
  | 'noTerminator'
  | 'idle'
  | 'crossed'
  | 'badPayload'
  | 'diverged'
  | 'aborted';

/** An attempt that did not yield a complete response. */
export const AttemptError = ModernError.subclass('AttemptError', {
  props: {
    failure: 'dropped' as AttemptFailure,
    /** Whether the backend server may have received the request. */
    sent: true,
    /** HTTP status, if the backend server sent one. */
    status: undefined as number | undefined,
    /** Body of the backend server's error response. */
    body: undefined as string | undefined,
  },
});

/** An instance of `AttemptError`. */
export interface FailedAttempt extends Error {
  failure: AttemptFailure;
  sent: boolean;
  status?: number;
  body?: string;
}

/** Properties of an `AttemptError` besides its failure. */
export interface AttemptErrorDetail {
  sent: boolean;
  status?: number;
  body?: string;
  cause?: unknown;
}

/** Creates an `AttemptError`. */
export function attemptError(
  failure: AttemptFailure,
  {sent, status, body, cause}: AttemptErrorDetail,
): FailedAttempt {
  return new AttemptError(`attempt failed: ${failure}`, {
    cause,
    props: {failure, sent, status, body},
  });
}

/** Whether an error is an `AttemptError`. */
export function isFailedAttempt(error: unknown): error is FailedAttempt {
  return error instanceof AttemptError;
}

/** Codes of errors raised before any part of a request is sent. */
const connectCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Converts an error of the HTTP client to an `AttemptError`. Its `sent` is
 * false only if the connection was never established.
 */
export function toAttemptError(error: unknown): FailedAttempt {
  if (isFailedAttempt(error)) return error;
  const {code, name} = error as {code?: string; name?: string};
  if (code !== undefined && connectCodes.has(code)) {
    return attemptError('connect', {sent: false, cause: error});
  }
  return attemptError(name === 'AbortError' ? 'aborted' : 'dropped', {
    sent: true,
    cause: error,
  });
}
