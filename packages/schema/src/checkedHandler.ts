/**
 * @fileoverview Validates calls between processes of a fleet before they are
 * handled, so that a malformed call has no effect.
 *
 * These processes start often, on a third of a core, so their validators are in
 * a module of their own and those of other messages aren't loaded.
 */
import {type ApartMessageTypes} from './generated/messages.js';
import * as validators from './generated/validatorsApart.js';

interface Validator {
  (value: unknown): boolean;
  errors?: Array<{instancePath: string; message?: string}> | null;
}

const validatorTable = validators as unknown as Record<
  `validate${keyof ApartMessageTypes}`,
  Validator
>;

/** A message that doesn't match its schema. */
export class MalformedMessage extends Error {
  override name = 'MalformedMessage';
}

/**
 * Returns a message with its type.
 *
 * @param name Name of the schema definition.
 * @throws {MalformedMessage} The message doesn't match the schema.
 */
export function checkedMessage<N extends keyof ApartMessageTypes>(
  name: N,
  value: unknown,
): ApartMessageTypes[N] {
  const validator = validatorTable[`validate${name}`];
  if (validator(value)) return value as ApartMessageTypes[N];
  const reasons = (validator.errors ?? []).map(
    ({instancePath, message = 'is not valid'}) => `${instancePath} ${message}`,
  );
  throw new MalformedMessage(`not a valid ${name}: ${reasons.join('; ')}`);
}

/**
 * Wraps a handler so that it receives only valid messages.
 *
 * @returns A handler that rejects other messages with `MalformedMessage`.
 */
export function checkedHandler<N extends keyof ApartMessageTypes, R, C>(
  name: N,
  handler: (message: ApartMessageTypes[N], context: C) => Promise<R>,
): (message: unknown, context: C) => Promise<R> {
  return async (message, context) =>
    handler(checkedMessage(name, message), context);
}
