/**
 * @fileoverview Validates what operators send.
 */
import {
  type Finding,
  type MessageName,
  type MessageTypes,
  type PageQuery,
  validate,
} from '@dogwoodtrestle/schema';

import {type HttpError, httpError} from '../util/httpError.js';

/** Returns a valid body, or throws an error with all findings. */
export function bodyOf<N extends MessageName>(
  name: N,
  body: unknown,
): MessageTypes[N] {
  return valueOf(name, body ?? {}, 'the body is invalid');
}

/** Returns the valid parameters of a list. */
export function pageOf(query: unknown): PageQuery {
  const parameters = Object.entries(query as Record<string, string>);
  const values = parameters.map(([key, text]) => [key, numberOf(key, text)]);
  return valueOf(
    'PageQuery',
    Object.fromEntries(values),
    'the query parameters are invalid',
  );
}

/** Builds the error that reports findings. */
export function invalid(message: string, findings: Finding[]): HttpError {
  return httpError(400, message, {code: 'invalid', findings});
}

function valueOf<N extends MessageName>(
  name: N,
  value: unknown,
  message: string,
): MessageTypes[N] {
  const result = validate(name, value);
  if ('value' in result) return result.value;
  throw invalid(message, result.findings);
}

function numberOf(key: string, text: string): unknown {
  return key !== 'customer' && /^\d+$/.test(text) ? Number(text) : text;
}
