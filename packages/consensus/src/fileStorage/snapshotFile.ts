/**
 * @fileoverview The snapshot file: one line with header and checksum, then the
 * state as JSON text.
 */
import {crc32} from 'node:zlib';

import {type SnapshotHeader} from '@dogwoodtrestle/schema';

import {CorruptFile} from '../errors.js';
import {type StoredSnapshot} from '../storage.js';
import {readIfExists, replaceFile} from '../util/durableFile.js';

interface HeaderLine {
  header: SnapshotHeader;
  checksum: number;
}

/** Replaces the snapshot file; durable when it resolves. */
export async function writeSnapshotFile(
  file: string,
  {header, text}: StoredSnapshot,
): Promise<void> {
  const line: HeaderLine = {header, checksum: checksumOf(header, text)};
  await replaceFile(file, `${JSON.stringify(line)}\n${text}`);
}

/**
 * Reads the snapshot file, or returns undefined if there is none. Rejects with
 * `CorruptFile` if the checksum is wrong.
 */
export async function readSnapshotFile(
  file: string,
): Promise<StoredSnapshot | undefined> {
  const contents = await readIfExists(file);
  if (contents === undefined) return undefined;
  const end = contents.indexOf('\n');
  const line = parseHeaderLine(contents.slice(0, Math.max(0, end)));
  const text = contents.slice(end + 1);
  if (line === undefined || checksumOf(line.header, text) !== line.checksum) {
    throw new CorruptFile(`snapshot file ${file} is damaged`, {
      props: {file, offset: 0},
    });
  }
  return {header: line.header, text};
}

function checksumOf(header: SnapshotHeader, text: string): number {
  return crc32(text, crc32(JSON.stringify(header)));
}

function parseHeaderLine(text: string): HeaderLine | undefined {
  try {
    return JSON.parse(text) as HeaderLine;
  } catch {
    return undefined;
  }
}
