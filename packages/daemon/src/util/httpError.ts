/**
 * @fileoverview Errors with an HTTP status and the details of the response.
 */
import {type Finding} from '@dogwoodtrestle/schema';

import {BaseError, type ErrorClass} from './baseError.js';

/** Fields of the error in the response body apart from the message. */
export interface HttpErrorDetail {
  /** Stable code, such as `unknownCustomer`. */
  code: string;
  findings?: Finding[];
  [field: string]: unknown;
}

/** Properties of an HTTP error. */
export interface HttpErrorProperties {
  status: number;
  detail: HttpErrorDetail;
}

/** An error that is sent as an HTTP response. */
export const HttpError: ErrorClass<HttpErrorProperties> = BaseError.subclass(
  'HttpError',
  {props: {status: 500, detail: {code: 'internal'}}},
);
export type HttpError = Error & HttpErrorProperties;

/** Creates an error that is sent as an HTTP response. */
export function httpError(
  status: number,
  message: string,
  detail: HttpErrorDetail,
): HttpError {
  return new HttpError(message, {props: {status, detail}});
}
