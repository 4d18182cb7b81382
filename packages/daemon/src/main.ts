/**
 * @fileoverview Command-line interface of the daemon.
 */
import {describeFinding} from '@dogwoodtrestle/schema';
import {Command} from 'commander';

import {startDaemon} from './daemon.js';
import {createLogger} from './observability/logger.js';
import {loadSettings} from './settings/loadSettings.js';
import {waitForShutdown} from './shutdown.js';
import {version} from './version.js';

/** Exit codes of the daemon. */
export const exitCodes = {
  ok: 0,
  settings: 1,
  usage: 2,
  start: 3,
  cutOff: 4,
} as const;

interface Options {
  settings: string;
  check?: boolean;
}

/**
 * Runs the daemon until it receives a signal to stop.
 *
 * @returns The exit code.
 */
export async function main(argv: readonly string[]): Promise<number> {
  const program = new Command('dogwoodtrestled')
    .description('Routes prepaid requests to backend servers.')
    .requiredOption('--settings <file>', 'YAML file with the settings')
    .option('--check', 'only check the settings')
    .version(version);
  program.parse(argv);
  const {settings: file, check} = program.opts<Options>();
  const loaded = await loadSettings(file);
  if ('findings' in loaded) {
    for (const finding of loaded.findings) {
      process.stderr.write(`${describeFinding(finding)}\n`);
    }
    return exitCodes.settings;
  }
  if (check === true) {
    process.stdout.write(`${file}: ok\n`);
    return exitCodes.ok;
  }
  const {settings} = loaded.value;
  const logger = createLogger(settings);
  try {
    const daemon = await startDaemon({...loaded.value, logger});
    logger.info({address: daemon.address}, 'ready');
    const {requests, settlements} = await waitForShutdown(daemon, logger);
    return requests + settlements === 0 ? exitCodes.ok : exitCodes.cutOff;
  } catch (error) {
    logger.fatal({err: error}, describeStartFailure(error as {code?: string}));
    return exitCodes.start;
  }
}

/** Log messages for start failures, by error code. */
const startFailures: Record<string, string> = {
  EADDRINUSE: 'a port in the settings is already in use',
  EADDRNOTAVAIL: 'the address in the settings does not belong to this machine',
  EACCES: 'permission denied for a port or folder in the settings',
};

function describeStartFailure({
  code,
  message,
}: {
  code?: string;
  message?: string;
}): string {
  return startFailures[code ?? ''] ?? message ?? 'the daemon could not start';
}
