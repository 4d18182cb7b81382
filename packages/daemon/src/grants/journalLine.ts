/**
 * @fileoverview Line format of journal files: a CRC-32 in hexadecimal, a space and
 * the entry as JSON.
 */
import {crc32} from 'node:zlib';

import {type JournalEntry, validate} from '@dogwoodtrestle/schema';

const checksumDigits = 8;

/** Encodes an entry as a line, including its line feed. */
export function encodeLine(entry: JournalEntry): string {
  const text = JSON.stringify(entry);
  return `${checksumOf(text)} ${text}\n`;
}

/** Decodes a line without its line feed; undefined if it is damaged. */
export function decodeLine(line: string): JournalEntry | undefined {
  const text = line.slice(checksumDigits + 1);
  if (line.slice(0, checksumDigits) !== checksumOf(text)) return undefined;
  const result = validate('JournalEntry', JSON.parse(text));
  return 'value' in result ? result.value : undefined;
}

function checksumOf(text: string): string {
  return crc32(text).toString(16).padStart(checksumDigits, '0');
}
