/**
 * @fileoverview Assembles the chunks of a received snapshot.
 */
import {crc32} from 'node:zlib';

import {type SnapshotChunk} from '@dogwoodtrestle/schema';

/** Received chunks of one snapshot at a time, in order. */
export class SnapshotAssembly {
  private key = '';
  private parts: string[] = [];
  private length = 0;

  /** Offset of the next expected chunk, in characters. */
  get offset(): number {
    return this.length;
  }

  /**
   * Adds a chunk and returns the complete text after the last one, or undefined
   * before that. Drops a chunk that is out of order, and all chunks if the
   * checksum of the text is wrong.
   */
  add(chunk: SnapshotChunk): string | undefined {
    const {index, term} = chunk.snapshot;
    const key = `${term}/${index}/${chunk.checksum}`;
    if (key !== this.key) this.reset(key);
    if (chunk.offset !== this.length) return undefined;
    this.parts.push(chunk.text);
    this.length += chunk.text.length;
    if (this.length < chunk.length) return undefined;
    const text = this.parts.join('');
    this.reset('');
    return crc32(text) === chunk.checksum ? text : undefined;
  }

  private reset(key: string): void {
    this.key = key;
    this.parts = [];
    this.length = 0;
  }
}
