/** @fileoverview Non-cryptographic string hash. */

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Returns the unsigned 32-bit FNV-1a hash of the UTF-16 code units. */
export function hashText(text: string): number {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  }
  return hash >>> 0;
}
