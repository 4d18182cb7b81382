/** @fileoverview Options that commands share. */
import {type Command, InvalidArgumentError} from 'commander';

/** Adds the options of a change. */
export function addChangeOptions(command: Command): Command {
  return command
    .option('--change-id <id>', 'id of an earlier attempt without an answer')
    .option('--wait', 'follow a pending change to its end');
}

/** Adds the options of a change that replaces a contract version. */
export function addVersionedChangeOptions(command: Command): Command {
  return addChangeOptions(command).option(
    '--expect-version <number>',
    'version that is replaced (0: a new contract); default: the newest one',
    parseCount,
  );
}

/** Reads a whole number from 0. */
export function parseCount(text: string): number {
  if (!/^\d+$/.test(text)) throw new InvalidArgumentError('not a whole number');
  return Number(text);
}
