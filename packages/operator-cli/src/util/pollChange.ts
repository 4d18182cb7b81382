/** @fileoverview Waits for the result of a pending change. */
import {setTimeout as sleep} from 'node:timers/promises';

import {type ChangeResult} from '@dogwoodtrestle/schema';

import {type Context} from '../context.js';

const pollIntervalMilliseconds = 500;

/**
 * Polls a change until it is no longer pending, and prints a line whenever the
 * instances that it waits for change.
 */
export async function pollChange(
  context: Context,
  first: ChangeResult,
): Promise<ChangeResult> {
  let result = first;
  let lastLine = '';
  while (result.state === 'pending') {
    const holders = (result.waitingFor ?? []).map(each => each.holder);
    const line = `pending: waits for ${holders.join(', ') || 'grants to end'}`;
    if (line !== lastLine) context.printProgress(line);
    lastLine = line;
    await sleep(pollIntervalMilliseconds);
    result = (await context.client.findChange(result.changeId)) ?? result;
  }
  return result;
}
