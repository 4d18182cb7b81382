/**
 * @fileoverview Cache for JSON texts of entries, so that each is encoded once.
 */
import {type Entry} from '@dogwoodtrestle/schema';

const texts = new WeakMap<Entry, string>();
const lengths = new WeakMap<Entry, number>();

/** Returns the JSON text of an entry and caches it until `releaseText`. */
export function encodeEntry(entry: Entry): string {
  const cached = texts.get(entry);
  if (cached !== undefined) return cached;
  const text = JSON.stringify(entry);
  texts.set(entry, text);
  lengths.set(entry, text.length);
  return text;
}

/** Removes the cached text of an entry, but keeps its length. */
export function releaseText(entry: Entry): void {
  texts.delete(entry);
}

/** Returns the length of the JSON text of an entry in characters. */
export function encodedLength(entry: Entry): number {
  return lengths.get(entry) ?? encodeEntry(entry).length;
}

/**
 * Caches the JSON text of an entry, built from its already encoded commands.
 */
export function encodeFromCommands(entry: Entry, commands: string[]): void {
  const {index, term, timestamp, kind} = entry;
  const prefix = JSON.stringify({index, term, timestamp, kind}).slice(0, -1);
  const text = `${prefix},"commands":[${commands.join(',')}]}`;
  texts.set(entry, text);
  lengths.set(entry, text.length);
}
