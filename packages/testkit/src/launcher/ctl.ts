/** @fileoverview Runs `dogwoodctl` against a cluster. */
import {execFile} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';

import {type Cluster} from './cluster.js';

const ctlScript = fileURLToPath(
  new URL('../../../operator-cli/bin/dogwoodctl.js', import.meta.url),
);

/**
 * Runs a command against all daemons and returns its standard output.
 *
 * @throws If the exit code is not 0; the error holds the command's output.
 */
export async function ctl(
  cluster: Cluster,
  args: readonly string[],
): Promise<string> {
  const urls = [...cluster.daemons.values()].flatMap(each => [
    '--url',
    each.url,
  ]);
  const key = ['--key-file', cluster.file('operator.key')];
  const {stdout} = await promisify(execFile)(process.execPath, [
    ctlScript,
    ...urls,
    ...key,
    ...args,
  ]);
  return stdout.trimEnd();
}
