/** @fileoverview Responses that callers have yet to read as the daemon stops. */
import {type AddressInfo, connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {type FastifyInstance} from 'fastify';
import {afterEach, expect, it} from 'vitest';

import {createHttpServer} from '../src/httpServer.js';
import {settingsOf} from './requests/fixture.js';

/** More than the kernel takes of a response for a caller that doesn't read. */
const unreadBytes = 32 * 1024 * 1024;

/** Time within which a connection on loopback has done what it will. */
const settleMilliseconds = 200;

let server: FastifyInstance;

afterEach(async () => {
  server.server.closeAllConnections();
  await server.close();
});

/** Starts a server and calls it; the caller doesn't read until it is told to. */
async function call(body: Buffer): Promise<Socket> {
  server = createHttpServer(settingsOf());
  server.get('/', (_, reply) => reply.send(body));
  await server.listen({host: '127.0.0.1', port: 0});
  const {port} = server.server.address() as AddressInfo;
  const caller = connect(port, '127.0.0.1');
  caller.on('error', () => undefined);
  caller.pause();
  caller.write('GET / HTTP/1.1\r\nHost: a.example\r\n\r\n');
  await sleep(settleMilliseconds);
  return caller;
}

async function countRest(caller: Socket): Promise<number> {
  caller.resume();
  let read: number;
  do {
    read = caller.bytesRead;
    await sleep(settleMilliseconds);
  } while (caller.bytesRead > read);
  return read;
}

// Guards against a response that ends with its connection in the middle, as its
// server took the connection for idle once it had written all (issue 70).
it('leaves a connection whose caller has yet to read a response', async () => {
  const caller = await call(Buffer.alloc(unreadBytes));
  server.server.closeIdleConnections();
  await sleep(settleMilliseconds);
  expect(await countRest(caller)).toBeGreaterThan(unreadBytes);
});

it('closes a connection whose caller has read its response', async () => {
  const caller = await call(Buffer.from('whole'));
  await countRest(caller);
  server.server.closeIdleConnections();
  await sleep(settleMilliseconds);
  expect(caller.closed).toBe(true);
});
