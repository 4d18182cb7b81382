/** @fileoverview Follows a pending change to its end. */
import {setTimeout as sleep} from 'node:timers/promises';

import {type ChangeResult} from '@dogwoodtrestle/schema';

import {type Context} from '../context.js';

const pollMilliseconds = 500;

/** Waits until a change is no longer pending, with a line of progress each poll. */
export async function pollChange(
  context: Context,
  first: ChangeResult,
): Promise<ChangeResult> {
  let result = first;
  let shown = '';
  while (result.state === 'pending') {
    const holders = (result.waitingFor ?? []).map(each => each.holder);
    const line = `pending: waits for ${holders.join(', ') || 'grants to end'}`;
    if (line !== shown) context.note(line);
    shown = line;
    await sleep(pollMilliseconds);
    result = (await context.client.findChange(result.changeId)) ?? result;
  }
  return result;
}
