/**
 * @fileoverview Checks docs/PROMISES.md against the scenarios.
 *
 * Every tag on the page must be the tag of a scenario, and every row must have a
 * tag or say that it is unproved.
 */
import {existsSync, readFileSync, readdirSync} from 'node:fs';

const page = 'docs/PROMISES.md';
const findings = [];

const features = existsSync('features')
  ? readdirSync('features')
      .filter(file => file.endsWith('.feature'))
      .map(file => readFileSync(`features/${file}`, 'utf8'))
  : [];
const tags = new Set(features.join('\n').match(/@[\w-]+/g) ?? []);

const rows = readFileSync(page, 'utf8')
  .split('\n')
  .map((text, index) => ({text, line: index + 1}))
  .filter(({text}) => /^\| *\d+/.test(text));

if (rows.length === 0) findings.push(`${page}: no promise is listed`);
for (const {text, line} of rows) {
  const named = text.match(/`@[\w-]+`/g) ?? [];
  if (named.length === 0 && !/unproved/i.test(text)) {
    findings.push(`${page}:${line}: no scenario, and not listed as unproved`);
  }
  for (const tag of named) {
    if (!tags.has(tag.replaceAll('`', ''))) {
      findings.push(`${page}:${line}: no scenario has the tag ${tag}`);
    }
  }
}
for (const finding of findings) console.error(finding);
process.exitCode = findings.length === 0 ? 0 : 1;
