/** @fileoverview Options of commands that make a change, and a parser of numbers. */
import {type Command, InvalidArgumentError} from 'commander';

/** Adds the options of commands that make a change. */
export function addChangeOptions(command: Command): Command {
  return command
    .option('--change-id <id>', 'id of an earlier attempt that got no response')
    .option('--wait', 'wait until a pending change is accepted or rejected');
}

/** Adds the options of commands that replace a version of a contract. */
export function addVersionedChangeOptions(command: Command): Command {
  return addChangeOptions(command).option(
    '--expect-version <number>',
    'version that is replaced (0: a new contract); default: the newest one',
    parseCount,
  );
}

/**
 * Parses a non-negative integer.
 *
 * @throws {InvalidArgumentError} The text is anything else.
 */
export function parseCount(text: string): number {
  if (!/^\d+$/.test(text)) throw new InvalidArgumentError('not a whole number');
  return Number(text);
}
