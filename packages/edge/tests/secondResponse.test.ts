/** @fileoverview Second responses inside the body of a first one. */
import {describe, expect, it} from 'vitest';

import {SecondResponse} from '../src/secondResponse.js';

/** Whether one is found in a text that arrives in pieces of a size. */
function isFound(text: string, size: number): boolean {
  const response = new SecondResponse('id-7');
  const pieces = text.match(new RegExp(`[^]{1,${size}}`, 'g')) ?? [];
  return pieces.some(piece => response.isInside(Buffer.from(piece, 'latin1')));
}

const head = (id: string) =>
  `HTTP/1.1 200 OK\r\nDate: now\r\nX-Attempt: ${id}\r\n\r\n`;

const cases: Array<[name: string, text: string, isInside: boolean]> = [
  ['a body', 'x'.repeat(500), false],
  ['a second head', `body${head('id-7')}body`, true],
  [
    'a second head behind that of another attempt',
    head('id-6') + head('id-7'),
    true,
  ],
  ['the head of another attempt', `body${head('id-6')}id-7`, false],
  ['the id alone', 'body id-7 HTTP/1.0', false],
  [
    'the id long after the start of a head',
    `HTTP/1.${'x'.repeat(40_000)}id-7`,
    false,
  ],
];

describe('a second response', () => {
  it.each(
    cases.flatMap(([name, text, isInside]) =>
      [1, 7, 1_000_000].map(size => ({name, size, text, isInside})),
    ),
  )('in $name, in pieces of $size bytes', ({text, size, isInside}) => {
    expect(isFound(text, size)).toBe(isInside);
  });
});
