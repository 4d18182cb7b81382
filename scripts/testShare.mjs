/**
 * @fileoverview Prints the share of tests and test support in the code.
 */
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';

const files = execFileSync('git', ['ls-files', '*.ts', '*.feature'], {
  encoding: 'utf8',
})
  .split('\n')
  .filter(file => file !== '' && !file.includes('/generated/'));

const isTest = file =>
  /\/tests\/|^features\/|\.feature$|^packages\/testkit\//.test(file);

const lines = {product: 0, tests: 0};
for (const file of files) {
  const count = readFileSync(file, 'utf8').split('\n').length - 1;
  lines[isTest(file) ? 'tests' : 'product'] += count;
}
const share = lines.tests / (lines.product + lines.tests);
console.log(
  `code: ${lines.product} lines, tests and scaffolding: ${lines.tests} lines (${(share * 100).toFixed(1)}%)`,
);
