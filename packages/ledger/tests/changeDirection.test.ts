/** @fileoverview Tests the direction of contract changes and contract checks. */
import {
  classifyChange,
  checkContract,
  type ChangeDirection,
  compareContracts,
} from '@dogwoodtrestle/ledger';
import {type Contract} from '@dogwoodtrestle/schema';
import {describe, expect, it} from 'vitest';

import {createContract, keyHash} from './fixtures.js';

const [desk, lab] = createContract().workspaces;
const model = createContract().models[0]!;
const {partition} = createContract();

/** Name, changed fields, direction, and direction of the reverse change. */
const cases: Array<
  [string, Partial<Contract>, ChangeDirection, ChangeDirection]
> = [
  [
    'prepaid',
    {budget: {prepaid: 900, currency: 'CAD'}},
    'tightening',
    'loosening',
  ],
  [
    'currency',
    {budget: {prepaid: 1000, currency: 'THB'}},
    'tightening',
    'tightening',
  ],
  ['model', {models: []}, 'tightening', 'loosening'],
  [
    'input price',
    {models: [{...model, inputPrice: 2}]},
    'tightening',
    'tightening',
  ],
  [
    'output price',
    {models: [{...model, outputPrice: 1}]},
    'tightening',
    'tightening',
  ],
  [
    'adapters',
    {models: [{...model, adapters: ['a']}]},
    'loosening',
    'tightening',
  ],
  ['version', {models: [{...model, version: '2'}]}, 'tightening', 'tightening'],
  ['service', {services: []}, 'tightening', 'loosening'],
  [
    'call price',
    {services: [{name: 'booking', callPrice: 6}]},
    'tightening',
    'tightening',
  ],
  ['priority', {priority: 'urgent'}, 'tightening', 'tightening'],
  ['rate limit', {limits: {requestsPerSecond: 5}}, 'tightening', 'loosening'],
  [
    'concurrency limit',
    {limits: {concurrentRequests: 5}},
    'tightening',
    'loosening',
  ],
  ['workspace', {workspaces: [desk]}, 'tightening', 'loosening'],
  [
    'key',
    {workspaces: [{...desk, keyHash: keyHash(9)}, lab!]},
    'tightening',
    'tightening',
  ],
  [
    'share',
    {workspaces: [{...desk, sharePercent: 99}, lab!]},
    'tightening',
    'loosening',
  ],
  [
    'workspace limit',
    {workspaces: [{...desk, limits: {requestsPerSecond: 1}}, lab!]},
    'tightening',
    'loosening',
  ],
  [
    'serving time',
    {partition: {...partition, servingSeconds: 59}},
    'tightening',
    'loosening',
  ],
  [
    'grant limit',
    {partition: {...partition, grantPercent: 29}},
    'tightening',
    'loosening',
  ],
  [
    'exhaustion wait',
    {partition: {...partition, exhaustionWaitMilliseconds: 9}},
    'neutral',
    'neutral',
  ],
  ['order', {workspaces: [lab!, desk]}, 'neutral', 'neutral'],
  [
    'mixture',
    {priority: 'urgent', budget: {prepaid: 2000, currency: 'CAD'}},
    'tightening',
    'tightening',
  ],
];

describe('contract changes', () => {
  it.each(cases)('%s', (_name, changes, forwards, backwards) => {
    const before = createContract();
    const after = createContract(changes);
    expect(classifyChange(before, after)).toBe(forwards);
    expect(classifyChange(after, before)).toBe(backwards);
  });

  it('returns the paths of the changed fields', () => {
    const after = createContract({workspaces: [{...desk, sharePercent: 50}]});
    expect(compareContracts(createContract(), after)).toEqual([
      {path: '/workspaces/lab', direction: 'tightening'},
      {path: '/workspaces/desk/sharePercent', direction: 'tightening'},
    ]);
  });
});

describe('checkContract', () => {
  it('returns no findings for a valid contract', () => {
    expect(checkContract(createContract())).toEqual([]);
  });

  it('returns every finding with its path', () => {
    const contract = createContract({
      models: [{...model, adapters: ['a', 'a']}, model],
      services: [
        {name: 's', callPrice: 1},
        {name: 's', callPrice: 2},
      ],
      workspaces: [desk, {...desk, sharePercent: 101}],
    });
    expect(checkContract(contract).map(({path}) => path)).toEqual([
      '/workspaces/1/name',
      '/workspaces/1/keyHash',
      '/models/1/name',
      '/services/1/name',
      '/workspaces/1/sharePercent',
      '/models/0/adapters/1',
    ]);
  });
});
