/** @fileoverview Tests of the relay. */
import {once} from 'node:events';
import {type AddressInfo, connect, createServer, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, describe, expect, it} from 'vitest';

import {freePort, Relay} from '../src/index.js';

const host = '127.0.0.1';
const cleanup: Array<() => unknown> = [];

afterEach(async () => {
  for (const each of cleanup.splice(0)) await each();
});

async function startRelayedEchoServer(): Promise<Relay> {
  const echo = createServer(socket => {
    socket.on('error', () => socket.destroy());
    socket.pipe(socket);
  }).listen(0, host);
  await once(echo, 'listening');
  const relay = new Relay({
    host,
    port: await freePort(host),
    targetPort: (echo.address() as AddressInfo).port,
  });
  await relay.start();
  cleanup.push(
    () => relay.stop(),
    () => echo.close(),
  );
  return relay;
}

function connectThrough(relay: Relay, localAddress: string): Socket {
  const socket = connect({host, port: relay.options.port, localAddress});
  socket.on('error', () => socket.destroy());
  cleanup.push(() => socket.destroy());
  return socket;
}

async function sendAndReceive(socket: Socket, text: string): Promise<string> {
  socket.write(text);
  const response = once(socket, 'data').then(([data]) => String(data));
  return Promise.race([response, sleep(200, 'nothing')]);
}

describe('Relay', () => {
  it('resets the connections of one source only when its link is cut', async () => {
    const relay = await startRelayedEchoServer();
    const cut = connectThrough(relay, '127.0.0.2');
    const other = connectThrough(relay, '127.0.0.3');
    expect(await sendAndReceive(cut, 'x')).toBe('x');
    relay.setLink('127.0.0.2', {cut: true});
    await once(cut, 'close');
    expect(await sendAndReceive(other, 'y')).toBe('y');
  });

  it('drops bytes in one direction, and resets the connection once the link is restored', async () => {
    const relay = await startRelayedEchoServer();
    const socket = connectThrough(relay, '127.0.0.2');
    expect(await sendAndReceive(socket, 'x')).toBe('x');
    relay.setLink('127.0.0.2', {dropBackward: true});
    expect(await sendAndReceive(socket, 'y')).toBe('nothing');
    relay.setLink('127.0.0.2', {});
    await once(socket, 'close');
    expect(await sendAndReceive(connectThrough(relay, '127.0.0.2'), 'z')).toBe(
      'z',
    );
  });
});
