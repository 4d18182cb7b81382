/** @fileoverview Tests of joining the streams of several attempts. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {type ChatChunk} from '../../src/requests/modelClient.js';
import {StreamSplicer} from '../../src/requests/streamSplicer.js';

function chunkOf(
  content: string,
  finishReason: string | null = null,
): ChatChunk {
  return {choices: [{delta: {content}, finish_reason: finishReason}]};
}

function textOf(results: (ChatChunk | 'diverged' | undefined)[]): string {
  return results
    .map(result =>
      typeof result === 'object' ? result.choices?.[0]?.delta?.content : '',
    )
    .join('');
}

/** Splits a text at the given positions. */
function split(text: string, positions: number[]): string[] {
  const bounds = [
    0,
    ...positions.map(position => position % (text.length + 1)),
    text.length,
  ];
  bounds.sort((a, b) => a - b);
  return bounds.slice(1).map((end, index) => text.slice(bounds[index], end));
}

describe('StreamSplicer', () => {
  it('joins two attempts with the same text, regardless of chunk boundaries', () => {
    const positions = fc.array(fc.nat(), {maxLength: 6});
    fc.assert(
      fc.property(
        fc.string({minLength: 1}),
        fc.nat(),
        positions,
        positions,
        (text, broken, first, second) => {
          const splicer = new StreamSplicer();
          const sent = text.slice(0, broken % (text.length + 1));
          const before = split(sent, first).map(piece =>
            splicer.splice(chunkOf(piece)),
          );
          splicer.restart();
          const after = split(text, second).map(piece =>
            splicer.splice(chunkOf(piece)),
          );
          expect(after).not.toContain('diverged');
          expect(textOf([...before, ...after])).toBe(text);
        },
      ),
      {seed: 7, numRuns: 300},
    );
  });

  const diverging = [
    {name: 'a different text', sent: 'barley', rerun: [chunkOf('bXrley')]},
    {name: 'a shorter text', sent: 'barley', rerun: [chunkOf('bar', 'stop')]},
  ];
  it.each(diverging)('reports $name', ({sent, rerun}) => {
    const splicer = new StreamSplicer();
    splicer.splice(chunkOf(sent));
    splicer.restart();
    expect(rerun.map(chunk => splicer.splice(chunk))).toContain('diverged');
  });
});
