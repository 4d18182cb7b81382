import {UnresponsiveListener} from '@dogwoodtrestle/testkit';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {PeerCallClient, PeerCallError} from '../src/index.js';

// After a power failure some instances are up before others: packets to the
// others get no answer, and connecting must fail within its timeout.
describe('a call to an instance that does not answer', () => {
  let listener: UnresponsiveListener;

  beforeEach(async () => {
    listener = await UnresponsiveListener.start();
  });

  afterEach(() => listener.stop());

  it('fails within the connect timeout, not up to a second later', async () => {
    const client = new PeerCallClient({connectTimeoutMilliseconds: 200});
    const startedAt = performance.now();
    const call = client.call(
      listener.address,
      'watch',
      {},
      {timeoutMilliseconds: 5_000},
    );
    await expect(call).rejects.toThrow(PeerCallError);
    expect(performance.now() - startedAt).toBeLessThan(450);
    await client.close();
  });
});
