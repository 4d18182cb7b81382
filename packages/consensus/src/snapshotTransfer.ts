/**
 * @fileoverview Splits a stored snapshot into chunks for one replica.
 */
import {crc32} from 'node:zlib';

import {type SnapshotChunk} from '@dogwoodtrestle/schema';

import {ConsensusError} from './errors.js';
import {type ReplicaState} from './replicaState.js';
import {type StoredSnapshot} from './storage.js';

/** Maximum bytes of one character in a message, including escapes. */
const maxBytesPerCharacter = 4;

/** Transfer of one snapshot to one replica. */
export class SnapshotTransfer {
  private offset = 0;
  private readonly checksum: number;

  private constructor(private readonly snapshot: StoredSnapshot) {
    this.checksum = crc32(snapshot.text);
  }

  /** Starts a transfer of the latest snapshot; rejects if there is none. */
  static async open(state: ReplicaState): Promise<SnapshotTransfer> {
    const snapshot = await state.writer.enqueue(storage =>
      storage.readSnapshot(),
    );
    if (snapshot === undefined) {
      throw new ConsensusError(
        'the log is compacted but there is no stored snapshot',
      );
    }
    return new SnapshotTransfer(snapshot);
  }

  /** Returns the next chunk, of at most about `maxBytes` bytes. */
  chunk(
    maxBytes: number,
  ): Pick<
    SnapshotChunk,
    'snapshot' | 'checksum' | 'length' | 'offset' | 'text'
  > {
    const {header, text} = this.snapshot;
    const characters = Math.max(1, Math.floor(maxBytes / maxBytesPerCharacter));
    return {
      snapshot: header,
      checksum: this.checksum,
      length: text.length,
      offset: this.offset,
      text: text.slice(this.offset, this.offset + characters),
    };
  }

  /** Continues at the character offset that the replica expects. */
  seek(offset: number): void {
    this.offset = Math.min(offset, this.snapshot.text.length);
  }
}
