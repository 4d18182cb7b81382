/**
 * @fileoverview Validates the input of the operator API.
 */
import {
  type Finding,
  type MessageName,
  type MessageTypes,
  type PageQuery,
  validate,
} from '@dogwoodtrestle/schema';

import {type HttpError, httpError} from '../util/httpError.js';

/**
 * Validates a request body.
 *
 * @throws HttpError with status 400 and all findings.
 */
export function parseBody<N extends MessageName>(
  name: N,
  body: unknown,
): MessageTypes[N] {
  return validateInput(name, body ?? {}, 'the body is invalid');
}

/**
 * Validates the query parameters of a list.
 *
 * @throws HttpError with status 400 and all findings.
 */
export function parsePageQuery(query: unknown): PageQuery {
  const parameters = Object.entries(query as Record<string, string>);
  const values = parameters.map(([key, text]) => [
    key,
    parseParameter(key, text),
  ]);
  return validateInput(
    'PageQuery',
    Object.fromEntries(values),
    'the query parameters are invalid',
  );
}

/** Creates the error with status 400 that reports findings. */
export function invalidInputError(
  message: string,
  findings: Finding[],
): HttpError {
  return httpError(400, message, {code: 'invalid', findings});
}

function validateInput<N extends MessageName>(
  name: N,
  value: unknown,
  message: string,
): MessageTypes[N] {
  const result = validate(name, value);
  if ('value' in result) return result.value;
  throw invalidInputError(message, result.findings);
}

function parseParameter(key: string, text: string): unknown {
  return key !== 'customer' && /^\d+$/.test(text) ? Number(text) : text;
}
