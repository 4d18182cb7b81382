/**
 * @fileoverview Rendezvous hashing: processes that know the same names rank
 * them in the same order for a key, without communication.
 */

/** Returns names ordered by their weight for a key, the highest first. */
export function rankFor(key: string, names: readonly string[]): string[] {
  return names
    .map(name => ({name, weight: rendezvousWeight(key, name)}))
    .sort((a, b) => b.weight - a.weight)
    .map(({name}) => name);
}

/** Returns the weight of a name for a key: an integer from 0 to 2 ** 32 - 1. */
export function rendezvousWeight(key: string, name: string): number {
  return hashName(`${key}/${name}`);
}

/** Combines the hashes of a key and of a name into an integer below 2 ** 32. */
export function mixHashes(key: number, name: number): number {
  return mix(Math.imul(key, 0x9e3779b1) ^ name);
}

/**
 * Returns the hash of a text, an integer from 0 to 2 ** 32 - 1: FNV-1a with the
 * final mix of MurmurHash3, since some bits of FNV-1a barely depend on the last
 * characters.
 */
export function hashName(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
  }
  return mix(value);
}

function mix(bits: number): number {
  let value = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}
