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

describe('grantsToRecall', () => {
  it.each([
    ['one that covers it', {}, 70, ['g50']],
    ['two that cover it', {}, 71, ['g50', 'g30']],
    ['all that there are', {}, 999, ['g50', 'g30', 'g10']],
    [
      'more where the balance is overdrawn',
      {available: -5},
      50,
      ['g50', 'g30'],
    ],
    [
      'all where a share is exhausted',
      {code: 'workspaceShareExhausted'},
      21,
      ['g10', 'g50', 'g30'],
    ],
    ['none for another refusal', {recallable: undefined}, 21, []],
  ] as const)('chooses %s', (_name, changes, maximumCost, expected) => {
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
    ['the demand and one request', {}, 170],
    ['an even part at most', {servingSeconds: 6000}, 1000],
    [
      'an even part of what is out as well',
      {demandPerSecond: 9, servingSeconds: 6000, granted: 2000},
      1200,
    ],
    [
      'room for connected requests',
      {available: 400, grantPercent: 100, servingSeconds: 6000},
      100,
    ],
    [
      'half while money is short',
      {
        available: 290,
        grantPercent: 100,
        holders: 1,
        servingSeconds: 6000,
        demandPerSecond: 20,
      },
      145,
    ],
    ['nothing without money', {available: -5}, 0],
    ['nothing without grants', {grantPercent: 0}, 0],
  ])('asks for %s', (_name, changes, expected) => {
    expect(sizeGrant({...demand, ...changes})).toBe(expected);
  });
});
