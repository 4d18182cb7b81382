/**
 * @fileoverview Failure of one attempt at a backend server.
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

/** An attempt that did not bring a whole answer. */
export const AttemptError = ModernError.subclass('AttemptError', {
  props: {
    failure: 'dropped' as AttemptFailure,
    /** Whether the backend server may have received the request. */
    sent: true,
    /** HTTP status, where the backend server answered one. */
    status: undefined as number | undefined,
    /** Body of a rejection. */
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

/** Properties of an attempt's failure. */
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

/** Whether an error is the failure of an attempt. */
export function isFailedAttempt(error: unknown): error is FailedAttempt {
  return error instanceof AttemptError;
}

/** Codes of errors that come before a request has been written. */
const connectCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Tells a failed connection from a request that may have been received. */
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
