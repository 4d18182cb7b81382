/** @fileoverview Tests connections that show that a process runs. */
import {connect, type Socket} from 'node:net';

import {afterEach, describe, expect, it, vi} from 'vitest';

import {
  PeerCallServer,
  PresenceConnection,
  silentLogger,
  systemClock,
} from '../src/index.js';

const host = '127.0.0.1';
const ports = [21_900, 21_901] as const;

const callText =
  'POST /presence HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}';

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

interface ObservedServer {
  opened: number;
  ends: string[];
}

async function observe(port: number): Promise<ObservedServer> {
  const observed: ObservedServer = {opened: 0, ends: []};
  const server = new PeerCallServer({
    host,
    port,
    logger: silentLogger,
    handlers: {
      presence: () => {
        observed.opened++;
        return new Promise(() => undefined);
      },
    },
    onAbandoned: (...[, , end]) => observed.ends.push(end),
  });
  await server.listen();
  closers.push(() => server.close());
  return observed;
}

function follow(port: number): PresenceConnection {
  const connection = new PresenceConnection({
    clock: systemClock,
    logger: silentLogger,
    method: 'presence',
    message: () => ({}),
  });
  connection.follow(`${host}:${port}`);
  closers.push(() => connection.close());
  return connection;
}

async function openSocket(port: number): Promise<Socket> {
  const socket = connect(port, host);
  socket.write(callText);
  closers.push(() => socket.destroy());
  return socket;
}

describe('a connection that is open while a process runs', () => {
  // Guards against a network that resets connections being taken for the end of
  // a process (issue 46).
  it('is broken when the network resets it', async () => {
    const observed = await observe(ports[0]);
    const socket = await openSocket(ports[0]);
    await vi.waitFor(() => expect(observed.opened).toBe(1), 5_000);
    socket.resetAndDestroy();
    await vi.waitFor(() => expect(observed.ends).toEqual(['broken']), 5_000);
  });

  it('is broken when the process turns to another address', async () => {
    const observed = await observe(ports[0]);
    const other = await observe(ports[1]);
    const connection = follow(ports[0]);
    await vi.waitFor(() => expect(observed.opened).toBe(1), 5_000);
    connection.follow(`${host}:${ports[1]}`);
    await vi.waitFor(() => expect(observed.ends).toEqual(['broken']), 5_000);
    await vi.waitFor(() => expect(other.opened).toBe(1), 5_000);
    connection.close();
    await vi.waitFor(() => expect(other.ends).toEqual(['closed']), 5_000);
  });

  it('is opened again after it was lost', async () => {
    const server = new PeerCallServer({
      host,
      port: ports[0],
      logger: silentLogger,
      handlers: {presence: () => new Promise(() => undefined)},
    });
    await server.listen();
    follow(ports[0]);
    await new Promise(resolve => setTimeout(resolve, 200));
    await server.close();
    const observed = await observe(ports[0]);
    await vi.waitFor(() => expect(observed.opened).toBe(1), 5_000);
  });
});
