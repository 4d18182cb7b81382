/** @fileoverview Polling until a condition holds. */
import {setTimeout as sleep} from 'node:timers/promises';

const pollMilliseconds = 50;

/**
 * Polls until the probe returns a value that is not a string. A string, or a
 * rejection, describes what is still missing.
 *
 * @throws If the timeout passes, with the last description.
 */
export async function eventually<T>(
  timeoutMilliseconds: number,
  probe: () => Promise<T | string>,
): Promise<Exclude<T, string>> {
  const deadline = Date.now() + timeoutMilliseconds;
  for (;;) {
    const result = await probe().catch((error: unknown) => String(error));
    if (typeof result !== 'string') return result as Exclude<T, string>;
    if (Date.now() > deadline) {
      throw new Error(`after ${timeoutMilliseconds} ms: ${result}`);
    }
    await sleep(pollMilliseconds);
  }
}
