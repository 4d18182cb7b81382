import {createServer, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {Agent} from 'undici';
import {afterEach, describe, expect, it} from 'vitest';

import {createPeerApi, type PeerHandlers} from '../src/peer/peerApi.js';
import {
  derivePeerKey,
  peerHeader,
  type PeerCredentials,
  signCall,
  verifyCall,
} from '../src/peer/peerAuthentication.js';
import {PeerClient} from '../src/peer/peerClient.js';
import {PeerServer} from '../src/peer/peerServer.js';
import {createPeerFetch} from '../src/peer/peerTransport.js';
import {silentMetrics} from '../src/util/metrics.js';
import {systemClock} from '@dogwoodtrestle/runtime';

const closers: Array<() => Promise<void>> = [];

afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

function credentialsOf(changes: Partial<PeerCredentials> = {}) {
  const key = derivePeerKey('shared key');
  return {cluster: 'barley', instance: 'kamloops-1', key, ...changes};
}

async function startServer(handlers: Partial<PeerHandlers> = {}) {
  const api = createPeerApi({
    identity: async request => ({
      instance: request.instance,
      incarnation: 1,
      address: request.address,
      wallTime: 5,
    }),
    gossip: () => ({
      instances: [],
      backends: [],
      renewals: {instances: [], backends: []},
    }),
    recall: async () => ({returned: 0}),
    running: () => ({running: []}),
    receiveFarewell: () => {},
    explain: async ({requestId}) => ({requestId, found: false}),
    keptAnswer: () => ({}),
    ...handlers,
  });
  const server = new PeerServer({
    api,
    credentials: credentialsOf({instance: 'server'}),
    address: '127.0.0.1',
    port: 0,
  });
  await server.start();
  closers.push(() => server.stop());
  return `127.0.0.1:${server.port}`;
}

function clientOf(
  changes: Partial<PeerCredentials> = {},
  clockOffsetMilliseconds = 0,
) {
  const client = new PeerClient({
    credentials: credentialsOf(changes),
    clock: {
      ...systemClock,
      wallNow: () => Date.now() + clockOffsetMilliseconds,
    },
  });
  closers.push(() => client.stop());
  return client;
}

function askIdentity(client: PeerClient, address: string, timeout = 1000) {
  return client.call(address, timeout, (calls, options) =>
    calls.identity.mutate({instance: 'a', address: 'b:1'}, options),
  );
}

describe('peer calls', () => {
  it('answers an authenticated call', async () => {
    const address = await startServer();
    expect(await askIdentity(clientOf(), address)).toMatchObject({
      instance: 'a',
      wallTime: 5,
    });
  });

  it.each([
    ['another cluster', {cluster: 'tents'}, 0, 'wrongCluster'],
    ['another key', {key: derivePeerKey('other')}, 0, 'badSignature'],
    ['a clock far ahead', {}, 60_000, 'clockSkew'],
    ['a clock far behind', {}, -60_000, 'clockSkew'],
  ])('rejects %s', async (_name, changes, offset, code) => {
    const address = await startServer();
    const client = clientOf(changes, offset);
    await expect(askIdentity(client, address)).rejects.toMatchObject({
      name: 'PeerRejectedError',
      code,
    });
  });

  it('rejects a signature of another path, body or caller', () => {
    const call = {path: '/peer/submit', body: '{}', time: 1000};
    const header = signCall(credentialsOf(), call);
    const verify = (changes: object, value = header) =>
      verifyCall(credentialsOf(), value, {...call, ...changes}).kind;
    expect(verify({})).toBe('verified');
    expect(verify({path: '/peer/receive'})).toBe('rejected');
    expect(verify({body: '{"a":1}'})).toBe('rejected');
    expect(verify({}, header.replace('kamloops-1', 'kamloops-2'))).toBe(
      'rejected',
    );
  });

  it('reports the path of invalid input', async () => {
    const address = await startServer();
    const call = clientOf().call(address, 1000, (calls, options) =>
      calls.identity.mutate({instance: 1} as never, options),
    );
    await expect(call).rejects.toThrow(/PeerFailed|\/instance/);
  });

  it('distinguishes calls not sent from calls possibly received', async () => {
    const address = await startServer({identity: () => new Promise(() => {})});
    await expect(askIdentity(clientOf(), address, 100)).rejects.toMatchObject({
      name: 'PeerUnreachableError',
      maybeReceived: true,
    });
    const refused = askIdentity(clientOf(), '127.0.0.1:1');
    await expect(refused).rejects.toMatchObject({
      name: 'PeerUnreachableError',
      maybeReceived: false,
    });
  });
});

/** Starts an instance that answers all calls on a connection as it did the first. */
async function startRepeater(): Promise<string> {
  const replies = new Map<Socket, string>();
  const listener = createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', data => {
      const [head = '', body = ''] = data.toString().split('\r\n\r\n');
      const id = /^x-call-id: .*\r\n/im.exec(`${head}\r\n`)?.[0] ?? '';
      const reply =
        replies.get(socket) ??
        `HTTP/1.1 200 OK\r\n${id}content-length: ${body.length}\r\n\r\n${body}`;
      replies.set(socket, reply);
      socket.write(reply);
    });
  });
  await new Promise<void>(resolve => listener.listen(0, '127.0.0.1', resolve));
  closers.push(async () => void listener.close());
  return `http://127.0.0.1:${(listener.address() as {port: number}).port}/`;
}

describe('a reply that an instance sends once more', () => {
  // Guards against consensus messages and calls that take the reply to another one
  // for theirs (issue 60).
  it('is not that to the next call', async () => {
    const url = await startRepeater();
    const dispatcher = new Agent({connections: 1});
    closers.push(() => dispatcher.destroy());
    const send = createPeerFetch({
      credentials: credentialsOf(),
      dispatcher,
      clock: systemClock,
      metrics: silentMetrics,
    });
    const first = await send(url, {body: '1'});
    expect(await first.json()).toBe(1);
    await sleep(10);
    await expect(send(url, {body: '2'})).rejects.toThrow('another call');
  });

  it('names its call', async () => {
    const address = await startServer();
    const path = '/peer/explain';
    const body = '{"requestId":"r-1"}';
    const time = systemClock.wallNow();
    const signature = signCall(credentialsOf(), {path, body, time});
    const {status, headers} = await fetch(`http://${address}${path}`, {
      method: 'POST',
      body,
      headers: {
        'content-type': 'application/json',
        'x-call-id': 'c-1',
        [peerHeader]: signature,
      },
    });
    expect(status).toBe(200);
    expect(headers.get('x-call-id')).toBe('c-1');
  });
});
