/**
 * @fileoverview Tests the decision how to replace lost replicas.
 */
import {describe, expect, it} from 'vitest';

import {decideRepair, type Member, type RepairInput} from '../src/index.js';

const domains = new Map([
  ['i1', 'kamloops-1'],
  ['i2', 'kamloops-2'],
  ['i3', 'dawson'],
]);

function member(id: string, role: Member['role'] = 'voter'): Member {
  return {id, instance: `i${id}`, address: `10.0.0.${id}`, role};
}

function candidate(id: string, failureDomain: string) {
  return {id, instance: `i${id}`, address: `10.0.0.${id}`, failureDomain};
}

/** Members 1 to n, led by 1; `peers` sets match index and contact age in ms. */
function input(
  members: Member[],
  peers: Record<string, {match?: number; age?: number}> = {},
  candidates: RepairInput['candidates'] = [],
): RepairInput {
  return {
    status: {
      id: '1',
      commitIndex: 1_000,
      members,
      peers: members.slice(1).map(({id}) => ({
        id,
        matchIndex: peers[id]?.match ?? 1_000,
        lastContactMs: peers[id]?.age ?? 10,
      })),
    },
    candidates,
    failureDomains: domains,
  };
}

const three = ['1', '2', '3'].map(id => member(id));
const lost = {age: 60_000};
const spareCandidates = [
  candidate('5', 'kamloops-1'),
  candidate('6', 'prince-george'),
];

const cases: [string, RepairInput, object][] = [
  [
    'all voters are reachable',
    input(three, {}, spareCandidates),
    {kind: 'none', reason: 'complete'},
  ],
  [
    'a voter is lost: a candidate in an unused failure domain is added',
    input(three, {3: lost}, spareCandidates),
    {kind: 'addLearner', member: member('6', 'learner')},
  ],
  [
    'the failure domain of the lost voter counts as unused',
    input(three, {3: lost}, [
      candidate('5', 'kamloops-2'),
      candidate('6', 'dawson'),
    ]),
    {kind: 'addLearner', member: member('6', 'learner')},
  ],
  [
    'the instance of the lost voter returns with another disk',
    input(three, {3: lost}, [{...candidate('7', 'dawson'), instance: 'i3'}]),
    {
      kind: 'addLearner',
      member: {...member('7', 'learner'), instance: 'i3'},
    },
  ],
  [
    'an instance with a reachable voter is not a candidate',
    input(three, {3: lost}, [{...candidate('7', 'dawson'), instance: 'i2'}]),
    {kind: 'none', reason: 'noCandidate'},
  ],
  [
    'the lost voter is kept while there is no replacement',
    input(three, {3: lost}),
    {kind: 'none', reason: 'noCandidate'},
  ],
  [
    'a voter without contact for less than the limit is kept',
    input(three, {3: {age: 29_000}}, spareCandidates),
    {kind: 'none', reason: 'complete'},
  ],
  [
    'the learner lags',
    input([...three, member('6', 'learner')], {3: lost, 6: {match: 10}}),
    {kind: 'none', reason: 'learnerCatchesUp'},
  ],
  [
    'the learner never replied',
    {
      ...input([...three, member('6', 'learner')], {3: lost, 6: {match: 0}}),
      status: {
        ...input([...three, member('6', 'learner')], {3: lost, 6: {match: 0}})
          .status,
        commitIndex: 5,
      },
    },
    {kind: 'none', reason: 'learnerCatchesUp'},
  ],
  [
    'the learner has caught up',
    input([...three, member('6', 'learner')], {3: lost, 6: {match: 990}}),
    {kind: 'promote', id: '6'},
  ],
  [
    'the learner is lost too',
    input([...three, member('6', 'learner')], {3: lost, 6: lost}),
    {kind: 'remove', id: '6'},
  ],
  [
    'the lost voter returned before the promotion',
    input([...three, member('6', 'learner')]),
    {kind: 'remove', id: '6'},
  ],
  [
    'the replacement is promoted: the lost voter is removed',
    input([...three, member('6')], {3: lost}),
    {kind: 'remove', id: '3'},
  ],
  [
    'one more voter is lost right after the promotion: another is added first',
    input(
      [...three, member('6')],
      {3: lost, 6: lost},
      spareCandidates.slice(0, 1),
    ),
    {kind: 'addLearner', member: member('5', 'learner')},
  ],
  [
    'two of six voters are lost: one is removed',
    input(
      ['1', '2', '3', '4', '5', '6'].map(id => member(id)),
      {5: lost, 6: lost},
    ),
    {kind: 'remove', id: '5'},
  ],
  [
    'the group has fewer voters than desired',
    input(three.slice(0, 2), {}, spareCandidates),
    {kind: 'addLearner', member: member('6', 'learner')},
  ],
];

describe('decideRepair', () => {
  it.each(cases)('%s', (_name, situation, expected) => {
    expect(decideRepair(situation)).toEqual(expected);
  });

  it('replaces a replica at once if its disk is known to be lost', () => {
    const members = [member('1'), member('2'), member('3')];
    const situation = input(members, {2: {}, 3: {}}, [candidate('4', 'x')]);
    const permanentlyLost = new Set(['3']);
    expect(decideRepair(situation).kind).toBe('none');
    expect(decideRepair({...situation, permanentlyLost}).kind).toBe(
      'addLearner',
    );
  });

  it('defers a removal after which the group would not survive the next loss', () => {
    const two = input([member('1'), member('2')], {2: lost});
    expect(decideRepair(two, {targetVoters: 1})).toEqual({
      kind: 'none',
      reason: 'wouldNotSurviveLoss',
    });
  });
});
