/** @fileoverview Builds and runs the command line. */
import {Command, CommanderError} from 'commander';

import {type Bind} from './commands/commandModule.js';
import {parseCount} from './commands/changeOptions.js';
import {groups, topLevel} from './commands/index.js';
import {
  Context,
  defaultOperator,
  type GlobalOptions,
  type Host,
  keyVariable,
  urlVariable,
} from './context.js';
import {CliError} from './errors.js';
import {exitCodes, exitCodesHelp} from './exitCodes.js';

const defaultTimeoutMilliseconds = 5000;

/**
 * Runs the command line.
 *
 * @param args Arguments without the names of the program.
 * @returns The exit code.
 */
export async function main(
  args: readonly string[],
  host: Host,
): Promise<number> {
  let exitCode: number = exitCodes.ok;
  const bind: Bind =
    handler =>
    async (...values) => {
      const command = values.at(-1) as Command;
      const options = command.optsWithGlobals<GlobalOptions>();
      const context = new Context(host, options);
      await handler(context, ...(values.slice(0, -1) as never));
      exitCode = context.exitCode;
    };
  try {
    await buildProgram(host, bind).parseAsync([...args], {from: 'user'});
    return exitCode;
  } catch (error) {
    return reportError(error, host);
  }
}

function buildProgram(host: Host, bind: Bind): Command {
  const program = new Command('dogwoodctl')
    .description('Drives a dogwoodtrestle cluster through any of its daemons.')
    .option(
      '--url <url>',
      `daemon to ask; repeat it to name others to try (or ${urlVariable})`,
      (url: string, urls: string[]) => [...urls, url],
      [],
    )
    .option(
      '--key-file <file>',
      `file with the operator key (or ${keyVariable})`,
    )
    .option('--operator <name>', 'name for the records', defaultOperator())
    .option(
      '--timeout <milliseconds>',
      'time that one daemon has to answer',
      parseCount,
      defaultTimeoutMilliseconds,
    )
    .option('--json', 'print JSON')
    .addHelpText('after', exitCodesHelp);
  configure(program, host);
  for (const [name, {description, commands}] of Object.entries(groups)) {
    const group = program.command(name).description(description);
    for (const command of commands) command(group, bind);
  }
  for (const command of topLevel) command(program, bind);
  return program;
}

/** Has commander write to the host and throw instead of ending the process. */
function configure(program: Command, host: Host): void {
  program.exitOverride().configureOutput({
    writeOut: text => host.stdout.write(text),
    writeErr: text => host.stderr.write(text),
  });
}

function reportError(error: unknown, host: Host): number {
  if (error instanceof CommanderError) {
    return error.exitCode === 0 ? exitCodes.ok : exitCodes.usage;
  }
  const message = error instanceof Error ? error.message : String(error);
  const exitCode = error instanceof CliError ? error.exitCode : exitCodes.usage;
  host.stderr.write(`dogwoodctl: ${message}\n`);
  return exitCode;
}
