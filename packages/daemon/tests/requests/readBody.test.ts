/**
 * @fileoverview Bodies of backend servers that come in very small pieces.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import v8 from 'node:v8';
import vm from 'node:vm';

import {type Dispatcher} from 'undici';
import {expect, it} from 'vitest';

import {readBody} from '../../src/requests/backendHttp.js';

const pieces = 1_000_000;

/** Memory that a body may take: a small multiple of its bytes. */
const maxGrowthBytes = 16 * pieces;

v8.setFlagsFromString('--expose-gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

function usedBytes(): number {
  collectGarbage();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

// Guards against a faulty server's body in pieces of a byte that takes a hundred times
// its bytes, until the daemon's memory is used up (issue 60).
it('a body in pieces of a byte takes little more memory than its bytes', async () => {
  const read = Buffer.alloc(pieces, 'x');
  const before = usedBytes();
  let growth = 0;
  async function* generatePieces() {
    for (let start = 0; start < pieces; start++) {
      yield read.subarray(start, start + 1);
      if (start % 1_000 === 0) await nextTurn();
    }
    growth = usedBytes() - before;
  }
  const body = generatePieces() as unknown as Dispatcher.ResponseData['body'];
  const text = await readBody(body, pieces);
  expect(text).toBe('x'.repeat(pieces));
  expect(growth).toBeLessThan(maxGrowthBytes);
});
