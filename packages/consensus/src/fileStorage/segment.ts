/**
 * @fileoverview Names and contents of segment files.
 *
 * `S.log` is a live segment with sequence number S. In `history/`,
 * `S-FIRST-LAST.log` is a sealed segment with its range of valid indexes.
 */
import {readFile} from 'node:fs/promises';

import {type Entry} from '@dogwoodtrestle/schema';

import {CorruptFile} from '../errors.js';
import {scanFrames} from './frame.js';

/** A segment file and its range of valid indexes. */
export interface Segment {
  file: string;
  sequence: number;
  firstIndex: number;
  lastIndex: number;
}

const sequenceDigits = 10;
const livePattern = /^(\d+)\.log$/;
const sealedPattern = /^(\d+)-(\d+)-(\d+)\.log$/;

/** Name of a live segment file. */
export function liveName(sequence: number): string {
  return `${String(sequence).padStart(sequenceDigits, '0')}.log`;
}

/** Name of a sealed segment file in the history. */
export function sealedName(segment: Segment): string {
  const sequence = String(segment.sequence).padStart(sequenceDigits, '0');
  return `${sequence}-${segment.firstIndex}-${segment.lastIndex}.log`;
}

/** Sequence number in the name of a live segment, or undefined. */
export function parseLiveName(name: string): number | undefined {
  const match = livePattern.exec(name);
  return match === null ? undefined : Number(match[1]);
}

/** Sequence number and range in the name of a sealed segment, or undefined. */
export function parseSealedName(
  name: string,
): Omit<Segment, 'file'> | undefined {
  const match = sealedPattern.exec(name);
  if (match === null) return undefined;
  return {
    sequence: Number(match[1]),
    firstIndex: Number(match[2]),
    lastIndex: Number(match[3]),
  };
}

/**
 * Reads all entries of a segment; throws `CorruptFile` if any byte is damaged.
 */
export async function readSegment(file: string): Promise<Entry[]> {
  const {entries, validBytes, tail} = scanFrames(await readFile(file));
  if (tail !== 'unused') throw corruptSegment(file, validBytes);
  return entries;
}

/**
 * Reads all entries of a sealed segment; throws `CorruptFile` as above, and if the
 * file ends before the last entry that its name tells.
 */
export async function readSealed({file, lastIndex}: Segment): Promise<Entry[]> {
  const entries = await readSegment(file);
  if (entries.some(({index}) => index >= lastIndex)) return entries;
  throw new CorruptFile(`log file ${file} has no entry ${lastIndex}`, {
    props: {file, offset: 0},
  });
}

/** Returns the error for a segment that is damaged at an offset in bytes. */
export function corruptSegment(file: string, offset: number): Error {
  return new CorruptFile(`log file ${file} is damaged at byte ${offset}`, {
    props: {file, offset},
  });
}

/** Appends entries; each one replaces all earlier entries from its index on. */
export function appendReplacing(
  target: Entry[],
  entries: readonly Entry[],
): void {
  for (const entry of entries) {
    while (target.length > 0 && (target.at(-1)?.index ?? 0) >= entry.index) {
      target.pop();
    }
    target.push(entry);
  }
}
