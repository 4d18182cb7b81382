/** @fileoverview Tests how bytes around the body of a response are limited. */
import {describe, expect, it} from 'vitest';

import {ResponseOverhead} from '../src/index.js';

const maxBytes = 1_000;

/** What a connection reads and delivers of one response, in order. */
type Step = {read: number; body?: number};

/** Returns the number of steps after which a response counts as endless. */
function stepsUntilExceeded(steps: Step[], readBefore = 0): number | undefined {
  const overhead = new ResponseOverhead(maxBytes);
  overhead.restart(readBefore);
  let readBytes = readBefore;
  const position = steps.findIndex(({read, body = 0}) => {
    readBytes += read;
    overhead.recordBody(body);
    return overhead.isExceeded(readBytes);
  });
  return position < 0 ? undefined : position + 1;
}

const repeat = (count: number, step: Step) =>
  Array.from({length: count}, () => step);

describe('bytes of a response that are no body', () => {
  it.each<[string, Step[], number | undefined]>([
    ['as many as are allowed', [{read: maxBytes}], undefined],
    ['one more', [{read: maxBytes}, {read: 1}], 2],
    ['without end after a body', [{read: 90, body: 50}, {read: 1_011}], 2],
    ['as many as the body has', repeat(99, {read: 200, body: 100}), undefined],
    ['more than the body has', repeat(99, {read: 300, body: 100}), 11],
    ['none', repeat(99, {read: 900, body: 900}), undefined],
  ])('%s', (_, steps, expected) => {
    expect(stepsUntilExceeded(steps)).toBe(expected);
    // Bytes of the responses before it don't count.
    expect(stepsUntilExceeded(steps, 7_000)).toBe(expected);
  });
});
