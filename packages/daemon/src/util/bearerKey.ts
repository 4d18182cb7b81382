/**
 * @fileoverview Verification of bearer keys in a time that doesn't depend on
 * how much of a wrong key is correct.
 */
import {createHash, timingSafeEqual} from 'node:crypto';

/** A key that callers must send as a bearer token. */
export class BearerKey {
  private readonly digest: Buffer;

  constructor(key: string) {
    this.digest = digestOf(key);
  }

  /** Whether an `authorization` header contains the key. */
  matches(header: string | undefined): boolean {
    const match = /^Bearer +(\S+)$/i.exec(header ?? '');
    const key = match?.[1];
    return key !== undefined && timingSafeEqual(digestOf(key), this.digest);
  }
}

function digestOf(key: string): Buffer {
  return createHash('sha256').update(key).digest();
}
