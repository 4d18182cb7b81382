/**
 * @fileoverview HTTP helpers for calls to backend servers.
 */
import {type BackendEntry} from '@dogwoodtrestle/routing';
import {ByteAccumulator, EmbeddedHeadFinder} from '@dogwoodtrestle/runtime';
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

/** Header that each response to an attempt has. */
const attemptIdHeader = 'x-attempt-id';

/**
 * Returns the body of a response as it arrives. Where only the close delimits it, it
 * may hold a second response, to this attempt or an earlier one.
 *
 * @throws AttemptError if it holds one.
 */
export async function* bodyOf(
  {headers, body}: Dispatcher.ResponseData,
  onSecondResponse: () => void,
): AsyncGenerator<Buffer, void, void> {
  const isDelimited =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  const finder = new EmbeddedHeadFinder(hasAttemptId);
  for await (const piece of body as AsyncIterable<Buffer>) {
    if (!isDelimited && finder.push(piece)) {
      onSecondResponse();
      throw attemptError('crossed', {sent: true});
    }
    yield piece;
  }
}

function hasAttemptId(rawHeaders: string[]): boolean {
  return rawHeaders.some(
    (name, index) => index % 2 === 0 && name.toLowerCase() === attemptIdHeader,
  );
}

/**
 * Reads the whole body of a response as UTF-8 text.
 *
 * @throws AttemptError if the body is truncated or larger than `maximumBytes`.
 */
export async function readBody(
  body: AsyncIterable<Buffer>,
  maximumBytes: number,
): Promise<string> {
  const bytes = new ByteAccumulator();
  try {
    for await (const piece of body) {
      if (bytes.length + piece.length > maximumBytes) {
        throw attemptError('badPayload', {sent: true});
      }
      bytes.append(piece);
    }
  } catch (error) {
    throw toAttemptError(error);
  }
  return bytes.bytes.toString('utf8');
}
