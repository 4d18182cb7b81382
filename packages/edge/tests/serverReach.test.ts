/**
 * @fileoverview What a router does that was partitioned from all servers, with real
 * servers on loopback.
 */
import {setTimeout as sleep} from 'node:timers/promises';

import type * as runtime from '@dogwoodtrestle/runtime';
import {afterEach, describe, expect, it, vi} from 'vitest';

import {refusals} from '../src/refusal.js';
import {link} from './support/faultyLink.js';
import {
  type Ending,
  endServers,
  failuresOf,
  startRouter,
} from './support/linkedRouter.js';

vi.mock('@dogwoodtrestle/runtime', async importOriginal => {
  const {withFaultyLink} = await import('./support/faultyLink.js');
  return withFaultyLink(await importOriginal<typeof runtime>());
});

afterEach(endServers);

/** Ways in which a router loses its link to the servers. */
const partitions = {
  'whose connections hang': () => {
    link.connectMilliseconds = () => Infinity;
    link.isMute = true;
  },
  'whose connections live on while new ones hang': () => {
    link.connectMilliseconds = () => Infinity;
  },
};

/**
 * Time by which callers must be sent elsewhere: the users' 4 s, less the two
 * seconds in which the load balancer takes a router out.
 */
const detectMilliseconds = 2_000;

/** Time in which a request is refused that can't be served. */
const atOnceMilliseconds = 100;

/** Whether a refusal came at once and makes its caller connect again. */
function isSentElsewhere({outcome, milliseconds}: Ending): boolean {
  if (outcome === 'delivered') return false;
  const {endsConnection = false} = refusals[outcome];
  return endsConnection && milliseconds < atOnceMilliseconds;
}

// Guards against callers that stay at a router that reaches no server, and wait
// there, while others do (issue 63).
describe('a router partitioned from all servers', () => {
  it.each(Object.entries(partitions))(
    'serves callers or sends them elsewhere at once: %s',
    async (_, cut) => {
      const {sendAll, context} = await startRouter();
      context.reach.start();
      expect(failuresOf(await sendAll(30, 20))).toEqual([]);
      cut();
      const before = sendAll(detectMilliseconds / 50, 50);
      await sleep(detectMilliseconds);
      const after = await sendAll(40, 25);
      const held = failuresOf(after).filter(end => !isSentElsewhere(end));
      expect(held).toEqual([]);
      await before;
      link.connectMilliseconds = () => 0;
      link.isMute = false;
      await sleep(detectMilliseconds);
      expect(failuresOf(await sendAll(20, 20))).toEqual([]);
      context.reach.stop();
    },
    15_000,
  );
});

// Guards against a router that sends its callers away as its servers are slow.
describe('a router whose servers are silent', () => {
  it('stays ready while connections are made', async () => {
    const {sendAll, context} = await startRouter();
    context.reach.start();
    link.isMute = true;
    const sent = sendAll(20, 50);
    for (let check = 0; check < 10; check++) {
      await sleep(200);
      expect(context.reach.isLost).toBe(false);
    }
    await sent;
    context.reach.stop();
  }, 15_000);
});
