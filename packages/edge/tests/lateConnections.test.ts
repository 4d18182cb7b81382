/**
 * @fileoverview What a router whose link is busy does with connections to servers
 * that come late, with real servers on loopback.
 */
import {setTimeout as sleep} from 'node:timers/promises';

import type * as runtime from '@dogwoodtrestle/runtime';
import {afterEach, describe, expect, it, vi} from 'vitest';

import {link} from './support/faultyLink.js';
import {endServers, failuresOf, startRouter} from './support/linkedRouter.js';

vi.mock('@dogwoodtrestle/runtime', async importOriginal => {
  const {withFaultyLink} = await import('./support/faultyLink.js');
  return withFaultyLink(await importOriginal<typeof runtime>());
});

afterEach(endServers);

// Guards against a router that takes its own busy link for unreachable servers: it
// refused all requests of the workspace that enters there (issue 63).
describe('a router whose link delays connections', () => {
  it.each([600, 900, 1_300])(
    'sends its requests to idle servers: %d ms',
    async delay => {
      const {sendAll, context} = await startRouter();
      expect(failuresOf(await sendAll(10, 10))).toEqual([]);
      context.pool.close();
      link.connectMilliseconds = () => delay;
      expect(failuresOf(await sendAll(60, 30))).toEqual([]);
    },
    10_000,
  );
});

describe('a server that no connection reaches', () => {
  it('is avoided while others are reached', async () => {
    const {addresses, sendAll, context} = await startRouter();
    const [unreachable] = addresses;
    link.connectMilliseconds = address =>
      address === unreachable ? Infinity : 0;
    expect(failuresOf(await sendAll(40, 10))).toEqual([]);
    const barred = context.pool.find('s-0')!.bar;
    await sleep(2_000);
    expect(barred.reason).toBe('unreachable');
  });
});
