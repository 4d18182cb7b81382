/**
 * @fileoverview Checksummed frames, the unit of writing and syncing.
 *
 * A frame consists of a magic number, the payload's length, a CRC-32 of length
 * and payload, and the payload: a JSON array of entries. Only the last frame
 * can be torn, because each frame is synced before the next one is written.
 */
import {crc32} from 'node:zlib';

import {type Entry} from '@dogwoodtrestle/schema';

import {encodeEntry, releaseText} from '../util/encodedEntry.js';

const frameMagic = 0x6c6f_6731;
const lengthOffset = 4;
const checksumOffset = 8;
const headerBytes = 12;

/** Contents of a segment file. */
export interface FrameScan {
  entries: Entry[];
  /** Length of the valid frames from the start of the file, in bytes. */
  validBytes: number;
  /** State of the bytes after the valid frames. */
  tail: 'unused' | 'torn' | 'damagedInside';
}

/** Encodes entries as one frame. */
export function encodeFrame(entries: readonly Entry[]): Buffer {
  const payload = Buffer.from(`[${entries.map(encodeEntry).join(',')}]`);
  entries.forEach(releaseText);
  const header = Buffer.alloc(headerBytes);
  header.writeUInt32BE(frameMagic, 0);
  header.writeUInt32BE(payload.length, lengthOffset);
  header.writeUInt32BE(checksumOf(header, payload), checksumOffset);
  return Buffer.concat([header, payload]);
}

/**
 * Reads frames from the start up to the first invalid one. Of the entries in
 * the result, each one replaces all earlier entries from its index on.
 */
export function scanFrames(data: Buffer): FrameScan {
  const entries: Entry[] = [];
  let offset = 0;
  for (;;) {
    const payload = payloadAt(data, offset);
    if (payload === undefined) break;
    entries.push(...(JSON.parse(payload.toString()) as Entry[]));
    offset += headerBytes + payload.length;
  }
  return {
    entries,
    validBytes: offset,
    tail: tailAt(data, offset),
  };
}

/** Classifies the rest of a file; allocated but unused space contains zeros. */
function tailAt(data: Buffer, offset: number): FrameScan['tail'] {
  const rest = data.subarray(offset);
  if (rest.equals(Buffer.alloc(rest.length))) return 'unused';
  return hasFrameAfter(data, offset) ? 'damagedInside' : 'torn';
}

function payloadAt(data: Buffer, offset: number): Buffer | undefined {
  if (offset + headerBytes > data.length) return undefined;
  if (data.readUInt32BE(offset) !== frameMagic) return undefined;
  const header = data.subarray(offset, offset + headerBytes);
  const start = offset + headerBytes;
  const end = start + header.readUInt32BE(lengthOffset);
  if (end > data.length) return undefined;
  const payload = data.subarray(start, end);
  const checksum = header.readUInt32BE(checksumOffset);
  return checksumOf(header, payload) === checksum ? payload : undefined;
}

function checksumOf(header: Buffer, payload: Buffer): number {
  const length = header.subarray(lengthOffset, checksumOffset);
  return crc32(payload, crc32(length));
}

function hasFrameAfter(data: Buffer, damagedOffset: number): boolean {
  const magicBytes = Buffer.alloc(4);
  magicBytes.writeUInt32BE(frameMagic);
  let offset = data.indexOf(magicBytes, damagedOffset + 1);
  while (offset >= 0) {
    if (payloadAt(data, offset) !== undefined) return true;
    offset = data.indexOf(magicBytes, offset + 1);
  }
  return false;
}
