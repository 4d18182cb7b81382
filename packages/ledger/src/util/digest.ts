/** @fileoverview Digests of keys and of JSON values. */
import {createHash} from 'node:crypto';

/** Returns the hexadecimal SHA-256 digest of a JSON value's canonical form. */
export function contentDigest(value: unknown): string {
  return createHash('sha256').update(canonicalJson(value)).digest('hex');
}

/** Returns the first 64 bits of the SHA-256 digest as two unsigned integers. */
export function keyDigest(key: string): {high: number; low: number} {
  const bytes = createHash('sha256').update(key).digest();
  return {high: bytes.readUInt32BE(0), low: bytes.readUInt32BE(4)};
}

/** Serializes a JSON value with sorted property names. */
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
