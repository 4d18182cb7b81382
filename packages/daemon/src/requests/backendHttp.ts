/**
 * @fileoverview What all calls to backend servers share.
 */
import {type BackendEntry} from '@dogwoodtrestle/routing';
import {type Dispatcher} from 'undici';

import {attemptError, toAttemptError} from './attemptError.js';

/** Where a backend server is called. */
export interface BackendAddress {
  origin: string;
  /** Path that goes before the path of each call, without a slash at its end. */
  base: string;
}

/** Returns where a backend server is called, from its announced URL. */
export function addressOf({announcement}: BackendEntry): BackendAddress {
  const {origin, pathname} = new URL(announcement.url);
  return {origin, base: pathname.replace(/\/$/, '')};
}

/**
 * Reads the whole body of an answer.
 *
 * @throws AttemptError where it breaks off or is larger than allowed.
 */
export async function readBody(
  body: Dispatcher.ResponseData['body'],
  maximumBytes: number,
): Promise<string> {
  const pieces: Buffer[] = [];
  let size = 0;
  try {
    for await (const piece of body) {
      size += (piece as Buffer).length;
      if (size > maximumBytes) throw attemptError('badPayload', {sent: true});
      pieces.push(piece as Buffer);
    }
  } catch (error) {
    throw toAttemptError(error);
  }
  return Buffer.concat(pieces).toString('utf8');
}
