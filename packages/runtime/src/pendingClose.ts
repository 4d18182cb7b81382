/** @fileoverview Waits for what a connection holds behind a request. */
import {setImmediate as nextTurn} from 'node:timers/promises';

/**
 * Resolves after the event loop has read what followed a request, such as the
 * connection's close by a caller that did not wait.
 */
export async function waitForPendingClose(): Promise<void> {
  await nextTurn();
  await nextTurn();
}
