/**
 * @fileoverview Builds the packages and runs the example with the arguments of
 * this script.
 */
import {spawnSync} from 'node:child_process';
import process from 'node:process';

import './checkNode.mjs';

function run(command, args) {
  const {status} = spawnSync(command, args, {stdio: 'inherit'});
  if (status !== 0) process.exit(status ?? 1);
}

run('npx', ['tsc', '-b']);
run(process.execPath, [
  'packages/testkit/dist/example/main.js',
  ...process.argv.slice(2),
]);
