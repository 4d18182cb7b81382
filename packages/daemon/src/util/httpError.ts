/**
 * @fileoverview Errors with an HTTP status and the body that callers get.
 */
import {type Finding} from '@dogwoodtrestle/schema';

import {BaseError, type ErrorClass} from './baseError.js';

/** What a caller is told besides the status and the message. */
export interface HttpErrorDetail {
  /** Stable code, such as `unknownCustomer`. */
  code: string;
  findings?: Finding[];
  [field: string]: unknown;
}

/** What an HTTP error carries. */
export interface HttpFailure {
  status: number;
  detail: HttpErrorDetail;
}

/** An answer other than success. */
export const HttpError: ErrorClass<HttpFailure> = BaseError.subclass(
  'HttpError',
  {props: {status: 500, detail: {code: 'internal'}}},
);
export type HttpError = Error & HttpFailure;

/** Builds an answer other than success. */
export function httpError(
  status: number,
  message: string,
  detail: HttpErrorDetail,
): HttpError {
  return new HttpError(message, {props: {status, detail}});
}
