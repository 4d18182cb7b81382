/**
 * @fileoverview Sends a change so that a resend after a lost answer is safe,
 * and prints its outcome.
 */
import {randomUUID} from 'node:crypto';

import {type ChangeResult} from '@dogwoodtrestle/schema';

import {type Context} from '../context.js';
import {OutcomeUnknownError, UsageError} from '../errors.js';
import {describeChange, exitCodeOf} from '../output/changeText.js';
import {pollChange} from './pollChange.js';

/** Options of every command that changes something. */
export interface ChangeOptions {
  /** Id of an earlier, unanswered attempt; drawn where absent. */
  changeId?: string;
  wait?: boolean;
}

/** Options of a change that replaces a version of a contract. */
export interface VersionedChangeOptions extends ChangeOptions {
  /** Version that the change replaces; by default the newest one. */
  expectVersion?: number;
}

/**
 * Sends a change and prints its outcome.
 *
 * @param resendOptions Options that a resend needs besides the change id.
 */
export async function submitChange(
  context: Context,
  options: ChangeOptions,
  resendOptions: string,
  send: (changeId: string) => Promise<ChangeResult>,
): Promise<void> {
  const {changeId = randomUUID()} = options;
  let result: ChangeResult;
  try {
    result = await send(changeId);
  } catch (error) {
    if (!(error instanceof OutcomeUnknownError)) throw error;
    throw new OutcomeUnknownError(
      `send it again with --change-id ${changeId}${resendOptions}`,
      {cause: error},
    );
  }
  if (options.wait === true) result = await pollChange(context, result);
  context.exitCode = exitCodeOf(result);
  context.print(result, () => describeChange(result));
}

/** Sends a change that replaces a version of a customer's contract. */
export async function submitVersionedChange(
  context: Context,
  customer: string,
  options: VersionedChangeOptions,
  send: (changeId: string, expectedVersion: number) => Promise<ChangeResult>,
): Promise<void> {
  const {changeId, expectVersion} = options;
  if (changeId !== undefined && expectVersion === undefined) {
    throw new UsageError('--change-id needs the --expect-version of that time');
  }
  const expectedVersion =
    expectVersion ??
    (await context.client.findContract(customer))?.version ??
    0;
  await submitChange(
    context,
    options,
    ` --expect-version ${expectedVersion}`,
    id => send(id, expectedVersion),
  );
}
