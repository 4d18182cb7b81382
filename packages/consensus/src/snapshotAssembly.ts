/**
 * @fileoverview Puts the chunks of a snapshot together.
 */
import {crc32} from 'node:zlib';

import {type SnapshotChunk} from '@dogwoodtrestle/schema';

/** Chunks of one snapshot at a time, in order. */
export class SnapshotAssembly {
  private key = '';
  private parts: string[] = [];
  private length = 0;

  /** Character that is expected next. */
  get offset(): number {
    return this.length;
  }

  /**
   * Adds a chunk and returns the whole text after the last one. A chunk out of
   * order is dropped; a text with a wrong checksum is dropped as a whole.
   */
  add(chunk: SnapshotChunk): string | undefined {
    const {index, term} = chunk.snapshot;
    const key = `${term}/${index}/${chunk.checksum}`;
    if (key !== this.key) this.restart(key);
    if (chunk.offset !== this.length) return undefined;
    this.parts.push(chunk.text);
    this.length += chunk.text.length;
    if (this.length < chunk.length) return undefined;
    const text = this.parts.join('');
    this.restart('');
    return crc32(text) === chunk.checksum ? text : undefined;
  }

  private restart(key: string): void {
    this.key = key;
    this.parts = [];
    this.length = 0;
  }
}
