import {UnresponsiveListener} from '@dogwoodtrestle/testkit';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {openSocket, PeerCallClient, PeerCallError} from '../src/index.js';

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

// Guards against an address of another writer whose port throws at once, which
// ends the check of a server, or its caller, with an unhandled error (issue 37).
describe('an address that can not be connected to', () => {
  it.each(['127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1:x', '127.0.0.1:'])(
    'is an error of the callback: %s',
    async address => {
      const options = {timeoutMilliseconds: 1_000};
      let hasReturned = false;
      const error = await new Promise<Error | null>(resolve => {
        openSocket(address, options, (...[error]) => {
          expect(hasReturned).toBe(true);
          resolve(error);
        });
        hasReturned = true;
      });
      expect(error).toBeInstanceOf(Error);
    },
  );
});
