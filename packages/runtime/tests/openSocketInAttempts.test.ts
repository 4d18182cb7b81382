/** @fileoverview Connections that are opened in several attempts. */
import {createServer, type AddressInfo, type Server} from 'node:net';

import {UnresponsiveListener} from '@dogwoodtrestle/testkit';
import {afterEach, describe, expect, it} from 'vitest';

import {openSocketInAttempts} from '../src/openSocketInAttempts.js';

let server: Server | undefined;

afterEach(() => {
  server?.close();
  server = undefined;
});

function open(address: string, attempts: number) {
  const options = {timeoutMilliseconds: 100, attempts};
  const startedAt = performance.now();
  return new Promise<{error: Error | null; milliseconds: number}>(resolve => {
    openSocketInAttempts(address, options, (error, socket) => {
      socket?.destroy();
      resolve({error, milliseconds: performance.now() - startedAt});
    });
  });
}

describe('a connection in several attempts', () => {
  it('is opened at once if the address answers', async () => {
    server = createServer();
    await new Promise<void>(resolve => server?.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const {error, milliseconds} = await open(`127.0.0.1:${port}`, 3);
    expect(error).toBeNull();
    expect(milliseconds).toBeLessThan(100);
  });

  it('fails at once if the address refuses it', async () => {
    const {error, milliseconds} = await open('127.0.0.1:1', 3);
    expect(error).toMatchObject({code: 'ECONNREFUSED'});
    expect(milliseconds).toBeLessThan(100);
  });

  it('fails after the time of all attempts without an answer', async () => {
    const listener = await UnresponsiveListener.start();
    const {error, milliseconds} = await open(listener.address, 3);
    await listener.stop();
    expect(error).not.toBeNull();
    expect(milliseconds).toBeGreaterThan(280);
    expect(milliseconds).toBeLessThan(450);
  });
});
