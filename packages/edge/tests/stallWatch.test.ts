import {describe, expect, it} from 'vitest';

import {isStalled, type StallCheckState} from '../src/stallWatch.js';

function createState(fields: Partial<StallCheckState> = {}): StallCheckState {
  return {
    silence: 500,
    serverSilence: 100,
    hasFirstEvent: false,
    patience: 1_500,
    gapLimit: 1_000,
    timeLeft: 8_000,
    ...fields,
  };
}

describe('isStalled', () => {
  it.each<[string, Partial<StallCheckState>, boolean]>([
    ['a short silence', {}, false],
    ['a silent server', {silence: 1_501, serverSilence: 1_501}, true],
    ['a server that sends data for other requests', {silence: 1_501}, false],
    [
      'one that does so for more than twice the timeout',
      {silence: 3_001},
      true,
    ],
    [
      'a gap between events at a silent server',
      {silence: 1_001, serverSilence: 1_001, hasFirstEvent: true},
      true,
    ],
    [
      'a gap between events at an active server',
      {silence: 1_001, hasFirstEvent: true},
      false,
    ],
    [
      'bytes that complete no event',
      {silence: 2_001, serverSilence: 1, hasFirstEvent: true},
      true,
    ],
    [
      'too little time for a retry',
      {silence: 1_501, serverSilence: 1_501, timeLeft: 700},
      false,
    ],
  ])('decides on %s', (_, fields, expected) => {
    expect(isStalled(createState(fields))).toBe(expected);
  });
});
