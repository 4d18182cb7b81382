/** @fileoverview Builds and runs the `dogwoodctl` command line. */
import {Command, CommanderError} from 'commander';

import {type BindHandler} from './commands/commandModule.js';
import {parseCount} from './commands/changeOptions.js';
import {commandGroups, topLevelCommands} from './commands/index.js';
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
 * @param args Command-line arguments, without the names of the interpreter and
 *     the script.
 * @returns The exit code.
 */
export async function main(
  args: readonly string[],
  host: Host,
): Promise<number> {
  let exitCode: number = exitCodes.ok;
  const bind: BindHandler =
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

function buildProgram(host: Host, bind: BindHandler): Command {
  const program = new Command('dogwoodctl')
    .description('Drives a dogwoodtrestle cluster through any of its daemons.')
    .option(
      '--url <url>',
      `base URL of a daemon; repeat it to add daemons to try next (or ${urlVariable})`,
      (url: string, urls: string[]) => [...urls, url],
      [],
    )
    .option(
      '--key-file <file>',
      `file with the operator key (or ${keyVariable})`,
    )
    .option(
      '--operator <name>',
      'operator name that is recorded with a change',
      defaultOperator(),
    )
    .option(
      '--timeout <milliseconds>',
      'time limit for the response of one daemon',
      parseCount,
      defaultTimeoutMilliseconds,
    )
    .option('--json', 'print JSON')
    .addHelpText('after', exitCodesHelp);
  redirectOutput(program, host);
  for (const [name, {description, commands}] of Object.entries(commandGroups)) {
    const group = program.command(name).description(description);
    for (const command of commands) command(group, bind);
  }
  for (const command of topLevelCommands) command(program, bind);
  return program;
}

/** Makes commander write to the host, and throw instead of exiting the process. */
function redirectOutput(program: Command, host: Host): void {
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
