/**
 * @fileoverview Cuts a stored snapshot into chunks for one replica.
 */
import {crc32} from 'node:zlib';

import {type SnapshotChunk} from '@dogwoodtrestle/schema';

import {ConsensusError} from './errors.js';
import {type ReplicaState} from './replicaState.js';
import {type StoredSnapshot} from './storage.js';

/** Bytes that one character may take in a message, escapes included. */
const bytesPerCharacter = 4;

/** One snapshot on its way to one replica. */
export class SnapshotTransfer {
  private offset = 0;
  private readonly checksum: number;

  private constructor(private readonly snapshot: StoredSnapshot) {
    this.checksum = crc32(snapshot.text);
  }

  /** Reads the newest snapshot. */
  static async open(state: ReplicaState): Promise<SnapshotTransfer> {
    const snapshot = await state.writer.enqueue(storage =>
      storage.readSnapshot(),
    );
    if (snapshot === undefined) {
      throw new ConsensusError(
        'the snapshot that the log starts at is missing',
      );
    }
    return new SnapshotTransfer(snapshot);
  }

  /** Returns the chunk at the offset, of about `maxBytes` at most. */
  chunk(
    maxBytes: number,
  ): Pick<
    SnapshotChunk,
    'snapshot' | 'checksum' | 'length' | 'offset' | 'text'
  > {
    const {header, text} = this.snapshot;
    const characters = Math.max(1, Math.floor(maxBytes / bytesPerCharacter));
    return {
      snapshot: header,
      checksum: this.checksum,
      length: text.length,
      offset: this.offset,
      text: text.slice(this.offset, this.offset + characters),
    };
  }

  /** Continues at the character that the replica expects. */
  seek(offset: number): void {
    this.offset = Math.min(offset, this.snapshot.text.length);
  }
}
