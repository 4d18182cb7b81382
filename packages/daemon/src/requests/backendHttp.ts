/**
 * @fileoverview HTTP helpers for calls to backend servers.
 */
import {type BackendEntry} from '@dogwoodtrestle/routing';
import {
  ByteAccumulator,
  type EmbeddedHeadFinder,
} from '@dogwoodtrestle/runtime';
import {type Dispatcher} from 'undici';

import {attemptError, toAttemptError} from './attemptError.js';

/** Parts of a backend server's URL. */
export interface BackendAddress {
  origin: string;
  /** Prefix of the path of each call, without a trailing slash. */
  base: string;
}

/** Returns the address in the announced URL of a backend server. */
export function addressOf({announcement}: BackendEntry): BackendAddress {
  const {origin, pathname} = new URL(announcement.url);
  return {origin, base: pathname.replace(/\/$/, '')};
}

/**
 * Reads the whole body of a response as UTF-8 text.
 *
 * @param finder Looks for a second response in the body.
 * @throws AttemptError if the body is truncated, is larger than `maximumBytes` or
 *     holds a second response.
 */
export async function readBody(
  body: Dispatcher.ResponseData['body'],
  maximumBytes: number,
  finder?: EmbeddedHeadFinder,
): Promise<string> {
  const bytes = new ByteAccumulator();
  try {
    for await (const piece of body as AsyncIterable<Buffer>) {
      if (bytes.length + piece.length > maximumBytes) {
        throw attemptError('badPayload', {sent: true});
      }
      if (finder?.push(piece) === true) {
        throw attemptError('crossed', {sent: true});
      }
      bytes.append(piece);
    }
  } catch (error) {
    throw toAttemptError(error);
  }
  return bytes.bytes.toString('utf8');
}
