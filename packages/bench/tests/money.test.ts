/** @fileoverview Tests overspend and false refusals of the money benchmark. */
import {describe, expect, it} from 'vitest';

import {compareMoney} from '../src/money/index.js';

describe('compareMoney', () => {
  const rows = compareMoney({
    seeds: [7],
    durationMilliseconds: 600_000,
    inputBounds: ['bytes'],
  });
  const refusals = (user: string, partition: string, admission: string) =>
    Number(
      rows.find(
        row =>
          row['user'] === user &&
          row['partition'] === partition &&
          row['admission'] === admission,
      )!['false refusals %'],
    );

  it('never overspends', () => {
    expect(rows).toHaveLength(16);
    expect(rows.map(row => row['overspend micros'])).toEqual(rows.map(() => 0));
  });

  it('adds no false refusals by grants without a partition', () => {
    for (const user of ['barley desk', 'tent commons']) {
      const withGrants = refusals(user, 'no', 'ledger with grants');
      expect(withGrants).toBe(refusals(user, 'no', 'quorum only'));
      expect(withGrants).toBeLessThan(refusals(user, 'no', 'static shares'));
    }
  });

  it('more than halves false refusals by grants during a partition', () => {
    const withGrants = refusals('tent commons', 'yes', 'ledger with grants');
    const quorumOnly = refusals('tent commons', 'yes', 'quorum only');
    expect(withGrants).toBeLessThan(quorumOnly / 2);
  });
});
