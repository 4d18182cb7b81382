/**
 * @fileoverview Runs every check of the project and counts the tests.
 *
 * Failures of tests that KNOWN-RED.txt lists are printed and don't fail the run.
 * The last line is `N passed, N failed`.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';

const folder = mkdtempSync(path.join(os.tmpdir(), 'dogwoodtrestle-test-'));
const totals = {passed: 0, failed: 0, knownRed: 0};

/** Names of the tests that may fail without failing the run. */
const knownRed = existsSync('KNOWN-RED.txt')
  ? readFileSync('KNOWN-RED.txt', 'utf8')
      .split('\n')
      .filter(line => line.startsWith('test: '))
      .map(line => line.slice('test: '.length).trim())
  : [];

function run(command, args, options = {}) {
  console.log(`\n== ${[command, ...args].join(' ')}`);
  return spawnSync(command, args, {stdio: 'inherit', ...options}).status === 0;
}

function recordResult(name, passed) {
  if (passed) {
    totals.passed++;
  } else if (knownRed.includes(name)) {
    totals.knownRed++;
    console.log(`known red: ${name}`);
  } else {
    totals.failed++;
    console.log(`FAILED: ${name}`);
  }
}

function runCheck(name, command, args) {
  recordResult(name, run(command, args));
}

function recordReport(name, file, parse) {
  if (!existsSync(file)) {
    recordResult(`${name} wrote no report`, false);
    return;
  }
  const results = parse(JSON.parse(readFileSync(file, 'utf8')));
  for (const result of results) recordResult(result.name, result.passed);
  if (results.length === 0) recordResult(`${name} ran no test`, false);
}

runCheck('node version', 'node', ['scripts/checkNode.mjs']);
runCheck('generated code builds', 'npm', ['run', '--silent', 'generate']);
runCheck('generated code is unchanged', 'git', [
  'diff',
  '--exit-code',
  '--stat',
  '--',
  'packages/schema/src/generated',
]);
runCheck('format', 'npm', ['run', '--silent', 'format:check']);
runCheck('types', 'npm', ['run', '--silent', 'build']);
runCheck('lint', 'npm', ['run', '--silent', 'lint']);
runCheck('names of the platform stay in its adapter', 'node', [
  'scripts/checkPlatformNames.mjs',
]);
runCheck('bundle for the platform', 'node', ['platform/build.mjs']);
runCheck('settings page is up to date', 'node', [
  'scripts/writeSettingsPage.mjs',
  '--check',
]);
if (existsSync('scripts/checkPromises.mjs')) {
  runCheck('promises name their scenarios', 'node', [
    'scripts/checkPromises.mjs',
  ]);
}

/** Runs the tests of a configuration of vitest, and records their results. */
function runUnitTests(name, options) {
  const report = path.join(folder, `${name.replaceAll(' ', '-')}.json`);
  run('npx', [
    'vitest',
    'run',
    ...options,
    '--reporter=default',
    '--reporter=json',
    `--outputFile.json=${report}`,
  ]);
  recordReport(name, report, json =>
    json.testResults.flatMap(file =>
      file.assertionResults.length > 0
        ? file.assertionResults.map(test => ({
            name: test.fullName,
            passed: test.status === 'passed',
          }))
        : [{name: file.name, passed: file.status === 'passed'}],
    ),
  );
}

runUnitTests('unit tests', []);
runUnitTests('memory tests', ['--config', 'vitest.memory.config.ts']);

if (existsSync('cucumber.json')) {
  const scenarioReport = path.join(folder, 'scenarios.json');
  run('npx', [
    'cucumber-js',
    '--format',
    'progress',
    '--format',
    `json:${scenarioReport}`,
  ]);
  recordReport('scenarios', scenarioReport, json =>
    json.flatMap(feature =>
      feature.elements.map(scenario => ({
        name: `${feature.name}: ${scenario.name}`,
        passed: scenario.steps.every(({result}) => result.status === 'passed'),
      })),
    ),
  );
}

run('node', ['scripts/testShare.mjs']);
rmSync(folder, {recursive: true, force: true});
if (totals.knownRed > 0) {
  console.log(`\n${totals.knownRed} known red, see KNOWN-RED.txt`);
}
console.log(`${totals.passed} passed, ${totals.failed} failed`);
process.exitCode = totals.failed === 0 ? 0 : 1;
