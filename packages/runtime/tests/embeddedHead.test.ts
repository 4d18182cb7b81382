/**
 * @fileoverview Tests of finding a second response in the body of a response.
 */
import {describe, expect, it} from 'vitest';

import {EmbeddedHeadFinder} from '../src/index.js';

const head = 'HTTP/1.1 200 OK\r\nServer: s\r\nId: a-1\r\n\r\n';

/** Whether a head with an id is found in pieces of a body. */
function isFound(...pieces: string[]): boolean {
  const finder = new EmbeddedHeadFinder(headers => headers.includes('Id'));
  return pieces.some(piece => finder.push(Buffer.from(piece)));
}

/** Shortest of some times to look through texts, in milliseconds. */
function timeOf(texts: string[]): number {
  const pieces = texts.map(text => Buffer.from(text));
  const times = Array.from({length: 10}, () => {
    const startedAt = performance.now();
    for (const piece of pieces) {
      new EmbeddedHeadFinder(() => false).push(piece);
    }
    return performance.now() - startedAt;
  });
  return Math.min(...times);
}

describe('a second response in a body', () => {
  it.each<[string, string[]]>([
    ['behind it', [`body${head}body`]],
    ['in its place', [head]],
    ['in its midst', [`bo${head}bodydy`]],
    ['byte by byte', [...`body${head}`]],
    ['without its end', ['body', head.slice(0, -2)]],
    ['behind a status line', [`HTTP/1.1 200 OK\r\n\r\n${head}`]],
    ['behind a status line without an end', [`HTTP/1.1 200 ${head}`]],
    ['in a long body', ['x'.repeat(100_000), `${'x'.repeat(100_000)}${head}`]],
  ])('is found %s', (_, pieces) => {
    expect(isFound(...pieces)).toBe(true);
  });

  it.each<[string, string[]]>([
    ['of text', ['body', 'more']],
    ['with a status line', ['HTTP/1.1 200 OK\r\n']],
    [
      'with another response',
      ['HTTP/1.1 200 OK\r\nServer: s\r\n\r\nId: a-1\r\n'],
    ],
    ['with the header alone', ['Id: a-1\r\n\r\n']],
    ['with a long line', [`HTTP/1.1 200 ${'x'.repeat(100_000)}`, 'x']],
    ['with a request', ['GET / HTTP/1.1\r\nId: a-1\r\n\r\n']],
  ])('is not found in one %s', (_, pieces) => {
    expect(isFound(...pieces)).toBe(false);
  });

  // Guards against bodies full of what may be heads that take a router's processor
  // time (issue 60): once the bytes in one piece take as long as in eight.
  it('is sought in time that grows as the body does', () => {
    const part = `HTTP/1.${'i'.repeat(30)}`.repeat(800);
    const parts = Array.from({length: 8}, () => part);
    expect(timeOf([parts.join('')])).toBeLessThan(3 * timeOf(parts));
  });
});
