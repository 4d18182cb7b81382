/**
 * @fileoverview Command line of the daemon.
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
 * Runs the daemon until it is told to stop.
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
    logger.fatal({err: error}, startMessage(error as {code?: string}));
    return exitCodes.start;
  }
}

/** Messages by the code of the error that kept the daemon from starting. */
const startMessages: Record<string, string> = {
  EADDRINUSE: 'a port of the settings is taken by another process',
  EADDRNOTAVAIL: 'the address of the settings does not belong to this machine',
  EACCES: 'a port or folder of the settings may not be used',
};

function startMessage({
  code,
  message,
}: {
  code?: string;
  message?: string;
}): string {
  return startMessages[code ?? ''] ?? message ?? 'the daemon could not start';
}
