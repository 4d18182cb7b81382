/**
 * @fileoverview Model engines and services that send an earlier response once more,
 * in place of the response to the next call on its connection.
 */
import {createServer, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {type BackendEntry} from '@dogwoodtrestle/routing';
import {createParser} from '@dogwoodtrestle/schema';
import {Agent} from 'undici';
import {afterEach, describe, expect, it} from 'vitest';

import {BackendOutcomeClient} from '../../src/ledgerHost/backendOutcomeClient.js';
import {postOrder} from '../../src/ledgerHost/orderIssuer.js';
import {createConnector} from '../../src/requests/backendSocket.js';
import {ModelClient, type ModelCall} from '../../src/requests/modelClient.js';
import {ServiceClient} from '../../src/requests/serviceClient.js';
import {createUnkeptAgent} from '../../src/util/unkeptAgent.js';
import {CleanUps} from '../fixtures.js';

const cleanUps = new CleanUps();

afterEach(() => cleanUps.run());

/** The first call, whose response is sent again, and the next one. */
const ids = ['first', 'next'] as const;

/** Time after which a connection takes the next call. */
const idleMilliseconds = 10;

type Id = (typeof ids)[number];

/** Creates the response of a server to the call of an attempt. */
type Responder = (id: Id) => {status: string; body: string};

/** Writes the response to a call, after earlier ones on its connection. */
type Writer = (
  socket: Socket,
  response: {head: string; body: string},
  earlier: string[],
) => void;

const withLength = ({head, body}: {head: string; body: string}) =>
  `${head}content-length: ${body.length}\r\n\r\n${body}`;

/** Answers all calls on a connection as it did the first. */
const repeatFirst: Writer = (socket, response, earlier) => {
  earlier.push(withLength(response));
  socket.write(earlier[0]!);
};

/** Sends the first response again inside the next one, which has no length. */
const repeatInside: Writer = (socket, response, earlier) => {
  const [first] = earlier;
  earlier.push(withLength(response));
  if (first === undefined) socket.write(earlier[0]!);
  else socket.end(`${response.head}\r\n${response.body}${first}`);
};

/** Sends each response twice, the first time without a length. */
const repeatBehind: Writer = (socket, response) =>
  socket.end(`${response.head}\r\n${response.body}${withLength(response)}`);

/** Starts a server that sends responses more than once. */
async function startRepeater(
  respond: Responder,
  write: Writer,
): Promise<BackendEntry> {
  const sockets = new Set<Socket>();
  const listener = createServer(socket => {
    sockets.add(socket);
    const earlier: string[] = [];
    socket.on('error', () => undefined);
    socket.on('data', data => {
      const call = data.toString();
      const {status, body} = respond(call.includes('first') ? 'first' : 'next');
      const id = /^x-attempt-id: .*\r\n/im.exec(call)?.[0] ?? '';
      const head = `HTTP/1.1 ${status}\r\n${id}content-type: application/json\r\n`;
      write(socket, {head, body}, earlier);
    });
  });
  await new Promise<void>(resolve => listener.listen(0, '127.0.0.1', resolve));
  cleanUps.add(async () => {
    for (const socket of sockets) socket.destroy();
    listener.close();
  });
  const {port} = listener.address() as {port: number};
  const announcement = createParser('Announcement')({
    name: 's-1',
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    url: `http://127.0.0.1:${port}`,
    failureDomain: 'd',
    kind: 'model',
    models: [{name: 'summary'}],
    service: {name: 'booking', readBackPath: '/read/{attempt}'},
    features: {attemptReport: true},
  });
  return {announcement, observedAt: 0};
}

/** Clients with one connection to each server. */
function createClients() {
  const dispatcher = new Agent({
    connections: 1,
    connect: createConnector(),
  });
  const unkept = createUnkeptAgent();
  cleanUps.add(() => dispatcher.destroy());
  cleanUps.add(() => unkept.destroy());
  const options = {
    dispatcher,
    unkept,
    idleMilliseconds: 2_000,
    onAttemptMismatch: () => undefined,
  };
  return {
    models: new ModelClient(options),
    services: new ServiceClient(options),
  };
}

type Clients = ReturnType<typeof createClients>;

/** Makes the call of an attempt, and returns what its caller learns. */
type Caller = (
  clients: Clients,
  backend: BackendEntry,
  id: Id,
) => Promise<unknown>;

function modelCallOf(backend: BackendEntry, attemptId: Id): ModelCall {
  const {signal} = new AbortController();
  const traceparent = '';
  return {
    backend,
    attemptId,
    body: {},
    priority: 'normal',
    traceparent,
    signal,
  };
}

async function collect(chunks: AsyncIterable<unknown>): Promise<unknown[]> {
  const all: unknown[] = [];
  for await (const chunk of chunks) all.push(chunk);
  return all;
}

const usageOf = (id: Id) => ({
  prompt_tokens: id === 'first' ? 900 : 1,
  completion_tokens: 0,
});

const streamEnd = 'data: [DONE]\n\n';

const completion: Responder = id => ({
  status: '200 OK',
  body: JSON.stringify({id, of: id}),
});

const complete: Caller = ({models}, backend, id) =>
  models.complete(modelCallOf(backend, id));

const callService = (
  {services}: Pick<Clients, 'services'>,
  backend: BackendEntry,
  id: Id,
) =>
  services.call({
    ...modelCallOf(backend, id),
    method: 'POST',
    path: '/',
    body: Buffer.from('b'),
  });

const cases: Record<string, [Responder, Caller]> = {
  'of a model': [completion, complete],
  'of a model that rejects a request': [
    id => ({status: '400 Bad Request', body: `the prompt of ${id}`}),
    complete,
  ],
  'of a stream': [
    id => ({
      status: '200 OK',
      body: `data: ${JSON.stringify({id, of: id})}\n\n${streamEnd}`,
    }),
    ({models}, backend, id) => collect(models.stream(modelCallOf(backend, id))),
  ],
  'that reports an attempt': [
    id => ({
      status: '200 OK',
      body: JSON.stringify({state: 'finished', of: id, usage: usageOf(id)}),
    }),
    ({models}, backend, id) => models.report(backend, id),
  ],
  'of a service': [completion, callService],
  'that reads a call back': [
    id => ({
      status: '200 OK',
      body: JSON.stringify({outcome: 'ran', body: `of ${id}`}),
    }),
    ({services}, backend, id) => services.readBack(backend, id),
  ],
};

/** Returns what the callers of both attempts learn. */
async function callBoth(
  respond: Responder,
  call: (backend: BackendEntry, id: Id) => Promise<unknown>,
  write = repeatFirst,
): Promise<string[]> {
  const backend = await startRepeater(respond, write);
  const learned: string[] = [];
  for (const id of ids) {
    const outcome = await call(backend, id).catch(
      ({failure, body}: {failure: string; body?: string}) => ({failure, body}),
    );
    learned.push(JSON.stringify(outcome));
    await sleep(idleMilliseconds);
  }
  return learned;
}

describe('an earlier response that is sent again', () => {
  // Guards against callers that get, or are billed for, what a server sent for
  // another attempt (issue 60).
  it.each(Object.keys(cases))('%s reaches no other caller', async name => {
    const clients = createClients();
    const [respond, caller] = cases[name]!;
    const [first, next] = await callBoth(respond, (backend, id) =>
      caller(clients, backend, id),
    );
    expect(first).toContain('first');
    expect(next).not.toContain('first');
  });

  // Guards against bills for the usage of another attempt (issue 60).
  it('of a model settles no other abandoned request', async () => {
    const [first, next] = await callBoth(
      id => ({
        status: '200 OK',
        body: JSON.stringify({state: 'finished', usage: usageOf(id)}),
      }),
      (entry, id) =>
        new BackendOutcomeClient({
          directory: {
            entries: () => [{entry, state: 'serving', ageMilliseconds: 0}],
          },
          attemptIds: () => [id],
          clock: {now: () => 0, wallNow: () => 0, setTimer: () => () => {}},
        }).fetchOutcome({
          target: {kind: 'model', name: 'summary'},
          inputPrice: 1,
          outputPrice: 1,
        } as never),
    );
    expect(first).toContain('"cost":900');
    expect(next).toContain('"cost":1,');
  });

  // Guards against an order that counts as taken by the response to an earlier one
  // (issue 60).
  it('to an order is that to no other order', async () => {
    const [first, next] = await callBoth(
      id => ({status: id === 'first' ? '200 OK' : '409 Conflict', body: '{}'}),
      ({announcement}, order) => postOrder(announcement.url, {order}),
    );
    expect([first, next]).toEqual(['200', '409']);
  });

  // Guards against callers that get a second response as a part of the body of one
  // without a length, or its end as that of their stream (issue 60).
  it.each([
    ['of a service', 'inside the next', repeatInside],
    ['of a service', 'behind itself', repeatBehind],
    ['of a model that rejects a request', 'inside the next', repeatInside],
    ['of a stream', 'inside the next', repeatInside],
  ] as const)('%s %s is part of no body', async (name, _, write) => {
    const clients = createClients();
    const [respond, caller] = cases[name]!;
    const [, next] = await callBoth(
      id => {
        const {status, body} = respond(id);
        const isCut = id === 'next' && write === repeatInside;
        return {status, body: isCut ? body.replace(streamEnd, '') : body};
      },
      (backend, id) => caller(clients, backend, id),
      write,
    );
    expect(next).toContain('"failure"');
    expect(next).not.toContain('HTTP/1.');
  });
});
