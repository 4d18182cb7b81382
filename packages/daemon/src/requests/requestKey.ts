/**
 * @fileoverview Keys and fingerprints that identify a caller's request.
 */
import {createHash} from 'node:crypto';

/** Longest accepted Idempotency-Key, in characters. */
export const maximumKeyLength = 256;

/** Returns the key of a request, unique within the cluster. */
export function scopedKey(
  customer: string,
  workspace: string,
  key: string,
): string {
  return `${customer}/${workspace}/${key}`;
}

/** Returns a digest of what a request asks for. */
export function fingerprintOf(parts: readonly (string | Buffer)[]): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(`${Buffer.byteLength(part)}:`);
    hash.update(part);
  }
  return hash.digest('base64url');
}

/** Returns the hash by which contracts name a bearer key. */
export function keyHashOf(key: string): string {
  return `sha256:${createHash('sha256').update(key).digest('hex')}`;
}
