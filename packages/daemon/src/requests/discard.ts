/**
 * @fileoverview Drops the body of an answer that nobody will read.
 */
import {type Readable} from 'node:stream';

/** Closes a body; the error that this raises in it is of no consequence. */
export function discard(body: Readable): void {
  body.on('error', () => undefined);
  body.destroy();
}
