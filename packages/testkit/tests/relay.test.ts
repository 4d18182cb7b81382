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

async function startEcho(): Promise<Relay> {
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

function connectFrom(relay: Relay, localAddress: string): Socket {
  const socket = connect({host, port: relay.options.port, localAddress});
  socket.on('error', () => socket.destroy());
  cleanup.push(() => socket.destroy());
  return socket;
}

async function echoed(socket: Socket, text: string): Promise<string> {
  socket.write(text);
  const answer = once(socket, 'data').then(([data]) => String(data));
  return Promise.race([answer, sleep(200, 'nothing')]);
}

describe('Relay', () => {
  it('cuts the link of one source only', async () => {
    const relay = await startEcho();
    const cut = connectFrom(relay, '127.0.0.2');
    const other = connectFrom(relay, '127.0.0.3');
    expect(await echoed(cut, 'x')).toBe('x');
    relay.setLink('127.0.0.2', {cut: true});
    await once(cut, 'close');
    expect(await echoed(other, 'y')).toBe('y');
  });

  it('swallows one direction, and resets the gap on healing', async () => {
    const relay = await startEcho();
    const socket = connectFrom(relay, '127.0.0.2');
    expect(await echoed(socket, 'x')).toBe('x');
    relay.setLink('127.0.0.2', {dropBackward: true});
    expect(await echoed(socket, 'y')).toBe('nothing');
    relay.setLink('127.0.0.2', {});
    await once(socket, 'close');
    expect(await echoed(connectFrom(relay, '127.0.0.2'), 'z')).toBe('z');
  });
});
