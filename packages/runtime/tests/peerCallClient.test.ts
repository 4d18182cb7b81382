/**
 * @fileoverview Tests the eviction of idle connection pools when a router calls
 * more addresses than it keeps connections to, their renewal, and second replies.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {createServer as createSocketServer, type Socket} from 'node:net';

import {
  endlessBodies,
  endlessOverheads,
  EndlessServer,
} from '@dogwoodtrestle/testkit';
import {afterEach, describe, expect, it} from 'vitest';

import {PeerCallClient, PeerCallServer, silentLogger} from '../src/index.js';

const closers: Array<() => Promise<void>> = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map(close => close()));
});

const firstPort = 21_870;

/** Starts servers with an `echo` method and a `wait` method that delays. */
async function startServers(count: number): Promise<string[]> {
  const handlers = {
    echo: async (message: unknown) => message,
    wait: (milliseconds: number) =>
      new Promise(resolve => setTimeout(resolve, milliseconds, 'waited')),
  };
  const addresses: string[] = [];
  for (let index = 0; index < count; index++) {
    const port = firstPort + index;
    const server = new PeerCallServer({
      host: '127.0.0.1',
      port,
      handlers,
      logger: silentLogger,
    });
    await server.listen();
    closers.push(() => server.close());
    addresses.push(`127.0.0.1:${port}`);
  }
  return addresses;
}

describe('PeerCallClient', () => {
  // Guards against loans from many other routers closing the connection of a
  // long poll to the leader (issue 25).
  it('keeps a pending call while many other addresses are called', async () => {
    const addresses = await startServers(8);
    const client = new PeerCallClient({maxAddresses: 3});
    closers.push(() => client.close());
    const [leader = '', ...others] = addresses;
    const options = {timeoutMilliseconds: 2_000};
    const pendingCall = client.call(leader, 'wait', 400, options);
    for (let round = 0; round < 3; round++) {
      await Promise.all(
        others.map(async (address, index) => {
          const reply = await client.call(address, 'echo', index, options);
          expect(reply).toBe(index);
        }),
      );
    }
    expect(await pendingCall).toBe('waited');
  });

  it('keeps connections to the most recently called addresses', async () => {
    const addresses = await startServers(5);
    const client = new PeerCallClient({maxAddresses: 3});
    closers.push(() => client.close());
    const options = {timeoutMilliseconds: 2_000};
    for (const address of addresses) {
      await client.call(addresses[0] ?? '', 'echo', 0, options);
      await client.call(address, 'echo', 1, options);
      expect(client.openAddresses.length).toBeLessThanOrEqual(3);
    }
    expect(client.openAddresses).toContain(addresses[0]);
  });
});

describe('a reply without end', () => {
  // Guards against a call to an address that something else listens on by now, whose
  // bytes take processor time until the call's timeout (issue 60).
  it.each(Object.entries({...endlessBodies, ...endlessOverheads}))(
    'is given up: %s',
    async (_, bytes) => {
      const server = await EndlessServer.start(bytes);
      closers.push(async () => server.close());
      const client = new PeerCallClient({maxReplyBytes: 1024 * 1024});
      closers.push(() => client.close());
      const options = {timeoutMilliseconds: 60_000};
      const call = client.call(server.address, 'echo', 0, options);
      await expect(call).rejects.toThrow('echo');
      expect(server.sentBytes).toBeLessThan(16 * 1024 * 1024);
    },
  );
});

describe('renewed connections', () => {
  /** Starts a server that counts its connections. */
  async function startCountingServer() {
    const counts = {opened: 0, open: 0};
    const server = createServer((request, response) => {
      request.resume();
      const delay = request.url === '/wait' ? 300 : 0;
      setTimeout(() => response.end('"done"'), delay);
    });
    server.on('connection', socket => {
      counts.opened++;
      counts.open++;
      socket.on('close', () => counts.open--);
    });
    server.listen(firstPort + 20, '127.0.0.1');
    await once(server, 'listening');
    closers.push(async () => void server.close());
    return {address: `127.0.0.1:${firstPort + 20}`, counts};
  }

  // Guards against calls over idle connections that have gone silent, each of
  // which waits for its whole timeout (issue 40).
  it('replace idle ones, and let calls in progress go on', async () => {
    const {address, counts} = await startCountingServer();
    const client = new PeerCallClient();
    closers.push(() => client.close());
    const options = {timeoutMilliseconds: 2_000};
    const pendingCall = client.call(address, 'wait', {}, options);
    await client.call(address, 'echo', {}, options);
    expect(counts).toEqual({opened: 2, open: 2});
    client.renew(address);
    await client.call(address, 'echo', {}, options);
    expect(counts.opened).toBe(3);
    expect(await pendingCall).toBe('done');
    await expect.poll(() => counts.open).toBe(1);
  });

  it('close with the client while a call is in progress', async () => {
    const {address, counts} = await startCountingServer();
    const client = new PeerCallClient();
    const options = {timeoutMilliseconds: 2_000};
    const pendingCall = client.call(address, 'wait', {}, options);
    const failure = expect(pendingCall).rejects.toThrow('wait at');
    await expect.poll(() => counts.open).toBe(1);
    client.renew(address);
    await client.close();
    await failure;
    await expect.poll(() => counts.open).toBe(0);
  });
});

/** How a peer sends the replies to the calls on one connection, the first twice. */
const repeaters: Record<
  string,
  (socket: Socket, replies: readonly string[]) => void
> = {
  'in place of the next reply': (socket, [first = '']) => socket.write(first),
  'before the next reply': (socket, [first = '', next]) =>
    socket.write(next === undefined ? first : first + next),
  'with the first reply': (socket, [first = '', next]) =>
    socket.write(next ?? first + first),
};

/** Starts a peer that echoes messages, and sends its first reply twice. */
async function startRepeater(moment: string): Promise<string> {
  const server = createSocketServer(socket => {
    const replies: string[] = [];
    socket.on('error', () => undefined);
    socket.on('data', data => {
      const [head = '', message = ''] = data.toString().split('\r\n\r\n');
      const id = /^x-call-id: .*$/im.exec(head)?.[0];
      replies.push(
        `HTTP/1.1 200 OK\r\n${id === undefined ? '' : `${id}\r\n`}` +
          `content-length: ${message.length}\r\n\r\n${message}`,
      );
      repeaters[moment]!(socket, replies);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  closers.push(async () => void server.close());
  const {port} = server.address() as {port: number};
  return `127.0.0.1:${port}`;
}

describe('a second reply of a peer', () => {
  // Guards against the reply of another call, which the peer sends once more on a
  // kept connection (issue 60).
  it.each(Object.keys(repeaters))(
    '%s is not taken for that of the next call',
    async moment => {
      const address = await startRepeater(moment);
      const client = new PeerCallClient({connectionsPerAddress: 1});
      closers.push(() => client.close());
      const options = {timeoutMilliseconds: 2_000};
      const replies: unknown[] = [];
      for (let call = 0; call < 4; call++) {
        const reply = client.call(address, 'echo', call, options);
        replies.push(await reply.catch(() => 'failed'));
        expect([call, 'failed']).toContain(replies.at(-1));
      }
      // Each second call at most fails; the next one has its own connection.
      expect(replies).toEqual(expect.arrayContaining([0, 2]));
    },
  );
});
