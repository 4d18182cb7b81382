/**
 * @fileoverview Discards response bodies that are not read.
 */
import {type Readable} from 'node:stream';

/** Destroys a body and ignores the error event that this causes. */
export function discard(body: Readable): void {
  body.on('error', () => undefined);
  body.destroy();
}
