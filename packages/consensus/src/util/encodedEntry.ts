/**
 * @fileoverview JSON texts of entries, each made once.
 */
import {type Entry} from '@dogwoodtrestle/schema';

const texts = new WeakMap<Entry, string>();
const lengths = new WeakMap<Entry, number>();

/** Returns the JSON text of an entry and keeps it until `forgetText`. */
export function encodeEntry(entry: Entry): string {
  const known = texts.get(entry);
  if (known !== undefined) return known;
  const text = JSON.stringify(entry);
  texts.set(entry, text);
  lengths.set(entry, text.length);
  return text;
}

/** Drops the text of an entry, but not its length. */
export function forgetText(entry: Entry): void {
  texts.delete(entry);
}

/** Returns the length of the JSON text of an entry in characters. */
export function encodedLength(entry: Entry): number {
  return lengths.get(entry) ?? encodeEntry(entry).length;
}

/** Takes the texts of an entry's commands, which then needn't be made again. */
export function encodeWithCommands(entry: Entry, commands: string[]): void {
  const {index, term, timestamp, kind} = entry;
  const head = JSON.stringify({index, term, timestamp, kind}).slice(0, -1);
  const text = `${head},"commands":[${commands.join(',')}]}`;
  texts.set(entry, text);
  lengths.set(entry, text.length);
}
