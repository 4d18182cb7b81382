/** @fileoverview Tests that names from outside are keys like any others. */
import {type Entry, type RecordUsage} from '@dogwoodtrestle/schema';
import {describe, expect, it} from 'vitest';

import {
  type FleetStateFailure,
  FleetState,
  GrantPlanner,
  viewBudgets,
  viewIncarnations,
} from '../src/index.js';

/** Names of properties that all plain objects inherit. */
const inheritedNames = [
  ...Object.getOwnPropertyNames(Object.prototype),
  'prototype',
];

const prepaid = 10_000;

function createEntry(index: number, commands: unknown[]): Entry {
  return {index, term: 1, timestamp: index, kind: 'commands', commands};
}

function createState(workspace: string): FleetState {
  const state = new FleetState();
  state.apply(
    createEntry(1, [
      {
        kind: 'putConfiguration',
        source: '',
        configuration: {
          version: 1,
          routes: [],
          services: [],
          limits: {},
          workspaces: [
            {name: workspace, keys: [], priority: 0, prepaidTokens: prepaid},
          ],
        },
      },
    ]),
  );
  return state;
}

function createReport(
  workspace: string,
  router: string,
  fields: Partial<RecordUsage['entries'][number]> = {},
): RecordUsage {
  const amounts = {used: 0, lent: 0, borrowed: 0, returned: 0};
  const limit = {committed: 0, cover: 0, grantUpTo: 4_000};
  return {
    kind: 'recordUsage',
    router,
    life: {instance: 'edge-1', clock: 'boot-1', startedAt: 1},
    entries: [{workspace, ...amounts, ...limit, ...fields}],
  };
}

function restored(state: FleetState): FleetState {
  const copy = new FleetState();
  copy.restore(JSON.parse(JSON.stringify(state.snapshot())));
  return copy;
}

// Guards against a workspace or a router that is named like a property of all
// objects: its usage stopped every replica for good (issue 46).
describe('a name that all objects have as a property', () => {
  it.each(inheritedNames)('is that of a workspace: %s', name => {
    const state = createState(name);
    const planner = new GrantPlanner(state, () => ['a:1']);
    for (const copy of [state, restored(state)]) {
      expect(planner.remaining(name)).toBe(prepaid);
      const [result] = copy.apply(createEntry(2, [createReport(name, 'r-1')]));
      expect(result).toMatchObject({outcomes: [{granted: 4_000}]});
      const again = restored(copy);
      again.apply(
        createEntry(3, [createReport(name, 'r-1', {used: 100, returned: 900})]),
      );
      expect(viewBudgets(again)).toMatchObject([
        {workspace: name, used: 100, held: 3_000, ungranted: 6_900},
      ]);
      expect(viewIncarnations(again, name)).toMatchObject([{router: 'r-1'}]);
    }
  });

  it.each(inheritedNames)('is that of a router: %s', name => {
    const state = createState('desk');
    state.apply(createEntry(2, [createReport('desk', name)]));
    const copy = restored(state);
    const successor = createReport('desk', 'r-2');
    successor.life.startedAt = 50;
    const [result] = copy.apply(createEntry(3, [successor]));
    expect(result).toMatchObject({ended: [{router: name}]});
    expect(copy.prepaid.routers[name]?.isOver).toBe(true);
  });
});

// Guards against an entry of the log that ends every replica, again after each
// restart, as it is committed and can't be applied (issue 46).
describe('a committed command that fails', () => {
  const malformed = {kind: 'recordUsage', router: 'r-9', life: null};

  it('has its error as its result, and later ones are applied', () => {
    const failures: FleetStateFailure[] = [];
    const state = new FleetState({
      onConfiguration: () => undefined,
      onServers: () => undefined,
      onFailure: failure => failures.push(failure),
    });
    const valid = createReport('desk', 'r-1');
    const results = state.apply(createEntry(7, [malformed, valid]));
    expect(results[0]).toBeInstanceOf(Error);
    expect(results[1]).toMatchObject({outcomes: [{granted: 0}]});
    expect(failures).toMatchObject([
      {kind: 'recordUsage', index: 7, isApplied: false},
    ]);
  });

  it('is one whose changes a part of the process could not take', () => {
    const failures: FleetStateFailure[] = [];
    const state = new FleetState({
      onConfiguration: () => {
        throw new Error('not understood');
      },
      onServers: () => undefined,
      onFailure: failure => failures.push(failure),
    });
    const configuration = {version: 1, routes: [], services: [], limits: {}};
    const command = {kind: 'putConfiguration', source: '', configuration};
    const [result] = state.apply(createEntry(1, [command]));
    expect(result).toEqual({kind: 'accepted', version: 1});
    expect(state.current?.configuration.version).toBe(1);
    expect(failures).toMatchObject([{index: 1, isApplied: true}]);
  });

  it('stops a replica that does not know its kind', () => {
    const state = new FleetState();
    for (const kind of ['later', 'constructor']) {
      expect(() => state.apply(createEntry(1, [{kind}]))).toThrow('unknown');
    }
  });
});
