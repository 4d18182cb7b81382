/**
 * @fileoverview What callers that read slowly get of responses whose router closes
 * its idle connections, as it does when it stops.
 */
import {type Server} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, describe, expect, it} from 'vitest';

import {CallerExchange} from '../src/callerExchange.js';
import {type CallerLimits} from '../src/callerLimits.js';
import {createCallerServer} from '../src/callerServer.js';
import {emptyResponseHead} from '../src/wireCodec.js';

/** More than the kernel takes of a response for a caller that doesn't read. */
const unreadBytes = 32 * 1024 * 1024;

const body = Buffer.alloc(unreadBytes, 'a');

/** Time within which a connection on loopback has done what it will. */
const settleMilliseconds = 200;

/** Ways in which a whole response is written. */
const writers: Record<string, (exchange: CallerExchange) => void> = {
  'in one piece': exchange => {
    exchange.sendResponse(emptyResponseHead, 200, body);
  },
  'as it arrives': exchange => {
    exchange.start(emptyResponseHead, 200);
    exchange.write(body, () => undefined);
    exchange.end();
  },
};

/** Ways in which idle connections are closed. */
const closers: Record<string, (server: Server) => void> = {
  stops: server => void server.close(),
  'reaches no server': server => server.closeIdleConnections(),
};

const servers: Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

async function startServer(
  respond: (exchange: CallerExchange) => void,
): Promise<{server: Server; caller: Socket}> {
  const limits = {record: () => undefined} as unknown as CallerLimits;
  const server = createCallerServer(
    {maxCallerConnections: 10},
    limits,
    (request, response) =>
      respond(new CallerExchange(request, response, () => false)),
  );
  servers.push(server);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const caller = connect(port, '127.0.0.1');
  caller.on('error', () => undefined);
  return {server, caller};
}

const request = 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n';

/** Reads until a connection is closed, or for a time; returns what was read. */
async function readRest(caller: Socket): Promise<Buffer> {
  const chunks: Buffer[] = [];
  caller.on('data', (data: Buffer) => chunks.push(data));
  caller.resume();
  let read: number;
  do {
    read = caller.bytesRead;
    await sleep(settleMilliseconds);
  } while (caller.bytesRead > read && !caller.closed);
  return Buffer.concat(chunks);
}

describe('a caller that reads slowly', () => {
  const cases = Object.keys(closers).flatMap(closer =>
    Object.keys(writers).map(writer => [closer, writer] as const),
  );

  // Guards against a response that ends with its connection in the middle, as its
  // router took the connection for idle once it had written all (issue 70).
  it.each(cases)(
    'of a router that %s gets all of a response sent %s',
    async (closer, writer) => {
      const {server, caller} = await startServer(writers[writer]!);
      caller.pause();
      caller.write(request);
      await sleep(settleMilliseconds);
      closers[closer]!(server);
      await sleep(settleMilliseconds);
      const response = await readRest(caller);
      expect(response.length).toBeGreaterThan(unreadBytes);
    },
  );
});

describe('a router that closes idle connections', () => {
  it('closes one whose response was read', async () => {
    const {server, caller} = await startServer(exchange =>
      exchange.sendResponse(emptyResponseHead, 200, Buffer.from('whole')),
    );
    caller.write(request);
    expect(String(await readRest(caller))).toMatch(/whole$/);
    expect(caller.closed).toBe(false);
    server.closeIdleConnections();
    await sleep(settleMilliseconds);
    expect(caller.closed).toBe(true);
  });

  it('leaves one on which a request has begun to arrive', async () => {
    const {server, caller} = await startServer(exchange =>
      exchange.sendResponse(emptyResponseHead, 200, Buffer.from('whole')),
    );
    caller.write(request);
    await readRest(caller);
    caller.write(request.slice(0, 10));
    await sleep(settleMilliseconds);
    server.closeIdleConnections();
    caller.write(request.slice(10));
    expect(String(await readRest(caller))).toMatch(/whole$/);
  });
});
