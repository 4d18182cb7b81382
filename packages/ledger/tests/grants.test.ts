/** @fileoverview Tests the sizing of grants and the selection of grants to recall. */
import {selectGrantsToRecall, sizeGrant} from '@dogwoodtrestle/ledger';
import {type RefusedResult} from '@dogwoodtrestle/schema';
import {describe, expect, it} from 'vitest';

function createRefusal(changes: Partial<RefusedResult> = {}): RefusedResult {
  const recallable = [10, 50, 30].map(remaining => ({
    grantId: `g${remaining}`,
    holder: 'r',
    remaining,
  }));
  return {
    kind: 'refused',
    code: 'budgetExhausted',
    available: 20,
    recallable,
    ...changes,
  };
}

describe('selectGrantsToRecall', () => {
  it.each([
    ['one grant that covers the missing amount', {}, 70, ['g50']],
    ['two grants that cover the missing amount', {}, 71, ['g50', 'g30']],
    [
      'all grants if they do not cover the missing amount',
      {},
      999,
      ['g50', 'g30', 'g10'],
    ],
    [
      'more grants if the balance is negative',
      {available: -5},
      50,
      ['g50', 'g30'],
    ],
    [
      'all grants if a workspace share is exhausted',
      {code: 'workspaceShareExhausted'},
      21,
      ['g10', 'g50', 'g30'],
    ],
    ['none if the refusal lists no grants', {recallable: undefined}, 21, []],
  ] as const)('selects %s', (_name, changes, maximumCost, expected) => {
    const chosen = selectGrantsToRecall(createRefusal(changes), maximumCost);
    expect(chosen.map(({grantId}) => grantId)).toEqual(expected);
  });
});

describe('sizeGrant', () => {
  const demand = {
    demandPerSecond: 2,
    available: 10_000,
    granted: 0,
    holders: 4,
    servingSeconds: 60,
    grantPercent: 40,
    largestRequest: 50,
  };

  it.each([
    ['the demand and one reservation', {}, 170],
    [
      'at most an equal part of what may be granted',
      {servingSeconds: 6000},
      1000,
    ],
    [
      'an equal part that includes amounts already granted',
      {demandPerSecond: 9, servingSeconds: 6000, granted: 2000},
      1200,
    ],
    [
      'what exceeds the reserve for connected requests',
      {available: 400, grantPercent: 100, servingSeconds: 6000},
      100,
    ],
    [
      'half of the balance if it is low',
      {
        available: 290,
        grantPercent: 100,
        holders: 1,
        servingSeconds: 6000,
        demandPerSecond: 20,
      },
      145,
    ],
    ['nothing if the balance is negative', {available: -5}, 0],
    ['nothing if the contract permits no grants', {grantPercent: 0}, 0],
  ])('requests %s', (_name, changes, expected) => {
    expect(sizeGrant({...demand, ...changes})).toBe(expected);
  });
});
