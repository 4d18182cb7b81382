/**
 * @fileoverview Keys and fingerprints that identify callers' requests.
 */
import {createHash} from 'node:crypto';

/** Largest accepted length of an Idempotency-Key, in characters. */
export const maximumKeyLength = 256;

/** Returns the key of a request, unique within the cluster. */
export function scopedKey(
  customer: string,
  workspace: string,
  key: string,
): string {
  return `${customer}/${workspace}/${key}`;
}

/** Returns a SHA-256 digest of a request's contents. */
export function fingerprintOf(parts: readonly (string | Buffer)[]): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(`${Buffer.byteLength(part)}:`);
    hash.update(part);
  }
  return hash.digest('base64url');
}

/** Returns the hash of a bearer key, as contracts store it. */
export function keyHashOf(key: string): string {
  return `sha256:${createHash('sha256').update(key).digest('hex')}`;
}
