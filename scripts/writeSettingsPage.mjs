/**
 * @fileoverview Generates docs/operators/settings.md from the settings schema.
 *
 * With `--check` it writes nothing and fails if the page is out of date.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';

import {parse} from 'yaml';

const page = 'docs/operators/settings.md';
const schemaFile = 'packages/schema/schemas/settings.yaml';

const {$defs} = parse(readFileSync(schemaFile, 'utf8'));

/** Returns the leaf settings of an object schema, each with its dotted path. */
function leavesOf(schema, path, isRequired) {
  if (schema.properties === undefined) return [{path, schema, isRequired}];
  return Object.entries(schema.properties).flatMap(([name, child]) =>
    leavesOf(
      child,
      path === '' ? name : `${path}.${name}`,
      (schema.required ?? []).includes(name),
    ),
  );
}

/** Describes the values that a setting accepts. */
function valuesOf({type, enum: values, items, minimum, maximum}) {
  if (values !== undefined) return values.map(each => `\`${each}\``).join(', ');
  if (type === 'array') return `list of ${valuesOf(items)}`;
  if (minimum === undefined && maximum === undefined) return type;
  const bounds = [minimum, maximum].map(each => each ?? '').join('–');
  return `${type} ${bounds}`;
}

function defaultOf({schema, isRequired}) {
  if (isRequired) return '**required**';
  if (schema.default === undefined) return '';
  return `\`${JSON.stringify(schema.default)}\``;
}

function rowOf(leaf) {
  const {path, schema} = leaf;
  const description = schema.description ?? '';
  const cells = [`\`${path}\``, valuesOf(schema), defaultOf(leaf), description];
  return `| ${cells.join(' | ')} |`;
}

const rows = leavesOf($defs.Settings, '', true).map(rowOf);
const text = `# Settings

One YAML file per daemon: \`dogwoodtrestled --settings FILE\`. Check a file with
\`dogwoodtrestled --settings FILE --check\`, which lists every finding with its
line and column. This page is written by \`node scripts/writeSettingsPage.mjs\`
from \`${schemaFile}\`.

| setting | values | default | meaning |
|---|---|---|---|
${rows.join('\n')}
`;

if (process.argv.includes('--check')) {
  if (readFileSync(page, 'utf8') !== text) {
    console.error(
      `${page} is out of date: run node scripts/writeSettingsPage.mjs`,
    );
    process.exitCode = 1;
  }
} else {
  writeFileSync(page, text);
}
