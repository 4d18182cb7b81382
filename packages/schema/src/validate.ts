/**
 * @fileoverview Validates values against the generated schemas.
 *
 * A failed validation returns all findings at once, each with the path in the
 * value, so that the author can fix them together.
 */
import {type MessageTypes} from './generated/messages.js';
import {type Finding} from './generated/types.js';
import * as validators from './generated/validators.js';
import {nearMatch} from './util/nearMatch.js';

/** Name of a message that can be validated. */
export type MessageName = keyof MessageTypes;

/** Result of a validation: the valid value, or what is wrong with it. */
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
 * Validates a value and fills in the defaults, in place.
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
  return {findings: errors.map(error => toFinding(error))};
}

/**
 * Returns a function that validates a value and returns it with its type. The
 * function throws a `TypeError` with all findings for an invalid value.
 */
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

/** Formats a finding as one line: `file:line:column: path: message (hint)`. */
export function describeFinding(finding: Finding): string {
  const location = [finding.file, finding.line, finding.column]
    .filter(part => part !== undefined)
    .join(':');
  const path = finding.path === '' ? '/' : finding.path;
  const hint = finding.hint === undefined ? '' : ` (${finding.hint})`;
  return `${location === '' ? '' : `${location}: `}${path}: ${finding.message}${hint}`;
}

function toFinding(error: SchemaError): Finding {
  const buildFinding = findingBuilders[error.keyword] ?? buildGenericFinding;
  return buildFinding(error);
}

/** Functions that build a finding, by the schema keyword that failed. */
const findingBuilders: Record<string, (error: SchemaError) => Finding> = {
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

function buildGenericFinding(error: SchemaError): Finding {
  return {
    path: error.instancePath,
    message: error.message ?? `fails ${error.keyword}`,
  };
}

function escapePointer(part: string): string {
  return part.replaceAll('~', '~0').replaceAll('/', '~1');
}
