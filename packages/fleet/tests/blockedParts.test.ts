/** @fileoverview Blocked parts of prompts in the replicated state. */
import {type FleetCommand} from '@dogwoodtrestle/schema';
import {describe, expect, it} from 'vitest';

import {FleetState, isRefusedBy} from '../src/index.js';

function apply(state: FleetState, ...commands: FleetCommand[]): unknown[] {
  return state.apply({
    index: 1,
    term: 1,
    timestamp: 1_000,
    commands,
  } as unknown as Parameters<FleetState['apply']>[0]);
}

const block = (
  part: string,
  workspace?: string,
  companions?: string[],
): FleetCommand => ({
  kind: 'blockPart',
  part,
  workspace,
  crashes: 4,
  ...(companions !== undefined && {companions}),
});

describe('a blocked part', () => {
  // Guards against blocks that a restart of every process ends (issue 34).
  it('survives a snapshot, with its revision', () => {
    const state = new FleetState();
    apply(state, block('p-1', 'desk'), block('p-2'));
    const copy = new FleetState();
    copy.restore(JSON.parse(JSON.stringify(state.snapshot())));
    expect(copy.blockedParts.state).toEqual(state.blockedParts.state);
    expect(copy.blockedParts.state).toMatchObject({
      revision: 2,
      parts: [{part: 'p-1', workspace: 'desk'}, {part: 'p-2'}],
    });
  });

  it('is missing in a snapshot of version 2', () => {
    const snapshot = new FleetState().snapshot() as Record<string, unknown>;
    const older: Record<string, unknown> = {...snapshot, version: 2};
    delete older['blockedParts'];
    const state = new FleetState();
    state.restore(older);
    expect(state.blockedParts.state).toEqual({revision: 0, parts: []});
  });

  it('holds for all once a second workspace sent it', () => {
    const state = new FleetState();
    apply(state, block('p-1', 'desk'), block('p-1', 'camp'));
    expect(state.blockedParts.find('p-1')).not.toHaveProperty('workspace');
    apply(state, block('p-1', 'desk'));
    expect(state.blockedParts.find('p-1')).not.toHaveProperty('workspace');
  });

  // Guards against a sound part that is refused with one that crashes servers
  // (issue 46).
  it('is blocked with the companions that its blocks have in common', () => {
    const state = new FleetState();
    const companions = () => state.blockedParts.find('p-1')?.companions;
    apply(state, block('p-1', undefined, ['p-2', 'p-3']));
    expect(companions()).toEqual(['p-2', 'p-3']);
    apply(state, block('p-1', undefined, ['p-3', 'p-4']));
    expect(companions()).toEqual(['p-3']);
    const [blocked] = state.blockedParts.state.parts;
    expect(isRefusedBy(blocked!, ['p-1', 'p-3', 'p-5'])).toBe(true);
    expect(isRefusedBy(blocked!, ['p-3', 'p-5'])).toBe(false);
    apply(state, block('p-1'));
    expect(companions()).toBeUndefined();
    apply(state, block('p-1', undefined, ['p-3']));
    expect(companions()).toBeUndefined();
  });

  it('ends when it is unblocked, and the listener hears of both', () => {
    const heard: Array<[string, boolean]> = [];
    const state = new FleetState({
      onConfiguration: () => undefined,
      onServers: () => undefined,
      onBlockedPart: (part, blocked) =>
        heard.push([part, blocked !== undefined]),
    });
    const unblock: FleetCommand = {kind: 'unblockPart', part: 'p-1'};
    expect(apply(state, block('p-1'), unblock, unblock).slice(1)).toEqual([
      true,
      false,
    ]);
    expect(heard).toEqual([
      ['p-1', true],
      ['p-1', false],
    ]);
  });

  it('yields to newer ones beyond the limit', () => {
    const state = new FleetState();
    for (let count = 0; count <= 500; count++) {
      apply(state, block(`p-${count}`));
    }
    expect(state.blockedParts.state.parts).toHaveLength(500);
    expect(state.blockedParts.find('p-0')).toBeUndefined();
  });
});
