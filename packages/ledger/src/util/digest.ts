/** @fileoverview Digests of keys and of JSON contents. */
import {createHash} from 'node:crypto';

/** Returns the SHA-256 digest, in hexadecimal, of a JSON value's contents. */
export function contentDigest(value: unknown): string {
  return createHash('sha256').update(canonicalJson(value)).digest('hex');
}

/** Returns two unsigned 32-bit numbers: the first 64 bits of SHA-256. */
export function keyDigest(key: string): {high: number; low: number} {
  const bytes = createHash('sha256').update(key).digest();
  return {high: bytes.readUInt32BE(0), low: bytes.readUInt32BE(4)};
}

/** Renders a JSON value with sorted property names. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, child: unknown) => {
    if (!isRecord(child)) return child;
    return Object.fromEntries(
      Object.entries(child).sort(([a], [b]) => (a < b ? -1 : 1)),
    );
  });
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return value !== null && typeof value === 'object' && !Array.isArray(value);
}
