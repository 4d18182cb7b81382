/**
 * @fileoverview Validates values against the generated schemas.
 *
 * A failed validation reports every finding at once, each with the place in
 * the value, so that its author can mend them all in one go.
 */
import {type MessageTypes} from './generated/messages.js';
import {type Finding} from './generated/types.js';
import * as validators from './generated/validators.js';
import {nearMatch} from './util/nearMatch.js';

/** Name of a message that can be validated. */
export type MessageName = keyof MessageTypes;

/** Outcome of a validation. */
export type Validation<T> = {value: T} | {findings: Finding[]};

interface SchemaError {
  instancePath: string;
  keyword: string;
  message?: string;
  params: Record<string, unknown>;
  parentSchema?: {properties?: Record<string, unknown>};
}

interface Validator {
  (value: unknown): boolean;
  errors?: SchemaError[] | null;
}

const validatorTable = validators as unknown as Record<
  `validate${MessageName}`,
  Validator
>;

/**
 * Checks a value and fills in the defaults, in place.
 *
 * @param name Name of the schema definition.
 * @param value A JSON value. Missing properties with a default are added.
 */
export function validate<N extends MessageName>(
  name: N,
  value: unknown,
): Validation<MessageTypes[N]> {
  const validator = validatorTable[`validate${name}`];
  if (validator(value)) return {value: value as MessageTypes[N]};
  const errors = (validator.errors ?? []).filter(
    error => error.keyword !== 'oneOf' && error.keyword !== 'if',
  );
  return {findings: errors.map(error => findingOf(error))};
}

/** Returns a function that passes valid values on and throws otherwise. */
export function createParser<N extends MessageName>(
  name: N,
): (value: unknown) => MessageTypes[N] {
  return value => {
    const result = validate(name, value);
    if ('value' in result) return result.value;
    throw new TypeError(
      `not a valid ${name}: ${result.findings.map(describeFinding).join('; ')}`,
    );
  };
}

/** Renders a finding as one line: `file:line:column: path: message`. */
export function describeFinding(finding: Finding): string {
  const place = [finding.file, finding.line, finding.column]
    .filter(part => part !== undefined)
    .join(':');
  const path = finding.path === '' ? '/' : finding.path;
  const hint = finding.hint === undefined ? '' : ` (${finding.hint})`;
  return `${place === '' ? '' : `${place}: `}${path}: ${finding.message}${hint}`;
}

function findingOf(error: SchemaError): Finding {
  const handler = handlers[error.keyword] ?? describeGeneric;
  return handler(error);
}

/** Builds findings by the schema keyword that failed. */
const handlers: Record<string, (error: SchemaError) => Finding> = {
  additionalProperties: error => {
    const name = String(error.params['additionalProperty']);
    const known = Object.keys(error.parentSchema?.properties ?? {});
    const match = nearMatch(name, known);
    return {
      path: `${error.instancePath}/${escapePointer(name)}`,
      message: `unknown field '${name}'`,
      ...(match === undefined ? {} : {hint: `did you mean '${match}'?`}),
    };
  },
  required: error => ({
    path: error.instancePath,
    message: `missing field '${String(error.params['missingProperty'])}'`,
  }),
  enum: error => ({
    path: error.instancePath,
    message: `must be one of ${(error.params['allowedValues'] as unknown[])
      .map(value => `'${String(value)}'`)
      .join(', ')}`,
  }),
};

function describeGeneric(error: SchemaError): Finding {
  return {
    path: error.instancePath,
    message: error.message ?? `fails ${error.keyword}`,
  };
}

function escapePointer(part: string): string {
  return part.replaceAll('~', '~0').replaceAll('/', '~1');
}
