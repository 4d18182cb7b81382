/** @fileoverview Snapshots that are received in parts. */
import {crc32} from 'node:zlib';

import {type SnapshotChunk} from '@dogwoodtrestle/schema';
import {describe, expect, it} from 'vitest';

import {SnapshotAssembly} from '../src/snapshotAssembly.js';

const whole = JSON.stringify({state: 'ลำไย'.repeat(20)});

function createChunk(offset: number, text: string): SnapshotChunk {
  return {
    kind: 'snapshot',
    from: 'a',
    to: 'b',
    term: 1,
    leader: {id: 'a', instance: 'a', address: 'a:1', role: 'voter'},
    snapshot: {index: 3, term: 1, timestamp: 3, members: []},
    checksum: crc32(whole),
    length: whole.length,
    offset,
    text,
  };
}

describe('SnapshotAssembly', () => {
  // Guards against a part of a snapshot that is taken for whole.
  it('returns none that ends at any character, or lacks one', () => {
    for (let cut = 0; cut < whole.length; cut++) {
      const assembly = new SnapshotAssembly();
      expect(assembly.add(createChunk(0, whole.slice(0, cut)))).toBe(undefined);
      const late = createChunk(cut + 1, whole.slice(cut + 1));
      expect(assembly.add(late)).toBe(undefined);
      const rest = createChunk(cut, whole.slice(cut));
      expect(assembly.add(rest)).toBe(whole);
      const longer = createChunk(0, `${whole.slice(0, cut)}${whole}`);
      expect(assembly.add(longer)).toBe(cut === 0 ? whole : undefined);
    }
  });
});
