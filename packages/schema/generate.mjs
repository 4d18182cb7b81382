/**
 * @fileoverview Generates the types and validators of the schema package.
 *
 * Reads `schemas/*.yaml` and writes `src/generated`: types, tables of the
 * messages, and validators that need no schema compiler at run time.
 */
import {mkdir, readdir, readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

import {Ajv2020} from 'ajv/dist/2020.js';
import standalone from 'ajv/dist/standalone/index.js';
import {compile} from 'json-schema-to-typescript';
import {parse} from 'yaml';

const root = path.dirname(fileURLToPath(import.meta.url));
const output = path.join(root, 'src', 'generated');

const schemas = new Map();
for (const file of (await readdir(path.join(root, 'schemas'))).sort()) {
  const schema = parse(
    await readFile(path.join(root, 'schemas', file), 'utf8'),
  );
  schemas.set(schema.$id, schema);
}

/** Returns a copy of a schema in which all references point into one file. */
function localReferences(value) {
  if (Array.isArray(value)) return value.map(localReferences);
  if (value === null || typeof value !== 'object') return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, child]) =>
      key === '$ref' && typeof child === 'string'
        ? [key, child.replace(/^.*#\/\$defs\//, '#/$defs/')]
        : [key, localReferences(child)],
    ),
  );
}

/**
 * Marks properties with a default as required. Validation fills them in, so
 * code that uses the generated types needs no fallback.
 */
function requireDefaults(value, definitions) {
  if (Array.isArray(value)) {
    return value.map(child => requireDefaults(child, definitions));
  }
  if (value === null || typeof value !== 'object') return value;
  const copy = Object.fromEntries(
    Object.entries(value).map(([key, child]) => [
      key,
      requireDefaults(child, definitions),
    ]),
  );
  if (copy.type === 'object' && copy.properties) {
    const filled = Object.entries(copy.properties)
      .filter(([, child]) => hasDefault(child, definitions))
      .map(([key]) => key);
    copy.required = [...new Set([...(copy.required ?? []), ...filled])];
  }
  return copy;
}

function hasDefault(schema, definitions) {
  if ('default' in schema) return true;
  const name = schema.$ref?.replace('#/$defs/', '');
  return name !== undefined && 'default' in (definitions[name] ?? {});
}

/** Copies the defaults of referenced definitions next to the references. */
function inlineDefaults(value, definitions) {
  if (Array.isArray(value)) {
    return value.map(child => inlineDefaults(child, definitions));
  }
  if (value === null || typeof value !== 'object') return value;
  const copy = Object.fromEntries(
    Object.entries(value).map(([key, child]) => [
      key,
      inlineDefaults(child, definitions),
    ]),
  );
  const name = copy.$ref?.replace?.('#/$defs/', '');
  if (name && 'default' in (definitions[name] ?? {})) {
    copy.default = definitions[name].default;
  }
  return copy;
}

/** Removes the defaults of definitions after `inlineDefaults` has copied them. */
function withoutRootDefaults(schemas) {
  return Object.fromEntries(
    Object.entries(schemas).map(([name, schema]) => {
      const rest = {...schema};
      delete rest.default;
      return [name, rest];
    }),
  );
}

const definitions = {};
for (const schema of schemas.values()) {
  for (const [name, definition] of Object.entries(schema.$defs)) {
    if (name in definitions) throw new Error(`duplicate definition ${name}`);
    definitions[name] = localReferences(definition);
  }
}

await mkdir(output, {recursive: true});
const types = await compile(
  {
    $id: 'Messages',
    type: 'object',
    additionalProperties: false,
    $defs: requireDefaults(definitions, definitions),
  },
  'Messages',
  {
    bannerComment:
      '/** @fileoverview Generated from the schemas; do not edit. */',
    unreachableDefinitions: true,
    additionalProperties: false,
    format: false,
  },
);
await writeFile(
  path.join(output, 'types.ts'),
  types
    .replace(/export interface Messages \{\s*\}\n/, '')
    .replace(
      /\/\*\*\s*\* This interface was referenced by `Messages`'s JSON-Schema\s*\* via the `definition` "[^"]*"\.\s*\*\/\n/g,
      '',
    )
    .replace(
      / *\*\s*\* This interface was referenced by `Messages`'s JSON-Schema\s*\* via the `definition` "[^"]*"\.\n/g,
      '',
    ),
);

const ajv = new Ajv2020({
  allErrors: true,
  verbose: true, // errors include the parent schema, which hints need
  useDefaults: true,
  strict: true,
  strictTypes: false,
  strictRequired: false,
  unicode: false, // counts UTF-16 code units, which needs no run-time helper
  logger: false,
  inlineRefs: false,
  discriminator: true,
  code: {esm: true, lines: true, source: true},
});
ajv.addSchema({
  $id: 'all',
  $defs: withoutRootDefaults(inlineDefaults(definitions, definitions)),
});
const names = [...schemas.values()].flatMap(schema => schema.validated ?? []);
const apart = [...schemas.values()].flatMap(
  schema => schema.validatedApart ?? [],
);

/** Returns the code of a module with a validator for each message. */
function validatorsOf(names) {
  const code = (standalone.default ?? standalone)(
    ajv,
    Object.fromEntries(
      names.map(name => [`validate${name}`, `all#/$defs/${name}`]),
    ),
  );
  if (/\brequire\(/.test(code)) {
    throw new Error('the generated validators import a run-time dependency');
  }
  return `/* eslint-disable */\n// @ts-nocheck\n/** @fileoverview Generated from the schemas; do not edit. */\n${code}\n`;
}

await writeFile(path.join(output, 'validators.ts'), validatorsOf(names));
await writeFile(path.join(output, 'validatorsApart.ts'), validatorsOf(apart));
await writeFile(
  path.join(output, 'messages.ts'),
  [
    '/** @fileoverview Generated from the schemas; do not edit. */',
    "import type * as types from './types.js';",
    '',
    '/** Type of each message by its name. */',
    'export interface MessageTypes {',
    ...names.map(name => `  ${name}: types.${name};`),
    '}',
    '',
    '/** Type of each message whose validator is in `validatorsApart.ts`. */',
    'export interface ApartMessageTypes {',
    ...apart.map(name => `  ${name}: types.${name};`),
    '}',
    '',
    '/** Names of the messages in `MessageTypes`. */',
    'export const messageNames = [',
    ...names.map(name => `  '${name}',`),
    '] as const;',
    '',
  ].join('\n'),
);
