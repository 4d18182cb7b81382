/** @fileoverview What a router says of the version that began a stream. */
import {type PeerCallClient, silentLogger} from '@dogwoodtrestle/runtime';
import {describe, expect, it} from 'vitest';

import {StreamOrigins} from '../src/streamOrigins.js';
import {createVirtualClock} from './support/virtualClock.js';

/** Creates the component at a router whose leader replies to each query. */
function createOrigins(versions: string[], reply: object) {
  const calls = {call: () => Promise.resolve(reply)};
  return new StreamOrigins({
    clock: createVirtualClock(),
    logger: silentLogger,
    calls: calls as unknown as PeerCallClient,
    pool: {softwareVersions: () => new Set(versions)},
    leader: () => 'c-1:1',
    routerCount: () => 1,
  });
}

const basis = {term: 7, confirmationAgeMilliseconds: 30};

describe('the origin of a stream', () => {
  it.each([
    [['v1'], {softwareVersion: 'v1', source: 'history'}],
    [['v1', 'v2'], {source: 'unknown'}],
  ])(
    'names the leader that told it, where the router knows %s',
    async (versions, expected) => {
      const reply = {kind: 'stream', source: 'history', softwareVersion: 'v1'};
      const origins = createOrigins(versions, {...reply, ...basis});
      const origin = await origins.find('a-1', 'llm');
      expect(origin).toEqual({...expected, leader: 'c-1:1', ...basis});
    },
  );
});
