/**
 * @fileoverview Rendezvous hashing: processes that know the same names rank
 * them alike for a key, without talking to each other.
 */

/** Returns names ordered by their weight for a key, the heaviest first. */
export function rankFor(key: string, names: readonly string[]): string[] {
  return names
    .map(name => ({name, weight: rendezvousWeight(key, name)}))
    .sort((a, b) => b.weight - a.weight)
    .map(({name}) => name);
}

/** Weight of a name for a key, from 0 to 2 to the power of 32. */
export function rendezvousWeight(key: string, name: string): number {
  return hash(`${key}/${name}`);
}

/** FNV-1a with a final mix, since its low bits barely depend on the end. */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}
