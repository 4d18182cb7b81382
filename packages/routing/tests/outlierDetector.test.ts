/** @fileoverview Tests of the bound on ejected servers. */
import {describe, expect, it} from 'vitest';

import {OutlierDetector} from '../src/index.js';

function failAll(names: string[], serverCount: number): string[] {
  const detector = new OutlierDetector();
  for (let round = 0; round < 10; round++) {
    for (const name of names) detector.record(name, 'failure', serverCount, 0);
  }
  return names.filter(name => detector.isEjected(name, 1));
}

describe('OutlierDetector', () => {
  const cases = [
    {name: 'the only server', names: ['a'], servers: 1, ejected: 0},
    {name: 'one of two', names: ['a', 'b'], servers: 2, ejected: 1},
    {
      name: 'a third of twelve',
      names: [...'abcdefghijkl'],
      servers: 12,
      ejected: 4,
    },
  ];
  it.each(cases)('ejects at most $name', ({names, servers, ejected}) => {
    expect(failAll(names, servers)).toHaveLength(ejected);
  });
});
