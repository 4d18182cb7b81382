/**
 * @fileoverview Attempts at a server that a test plays, with real sockets on
 * loopback.
 */
import {
  createServer,
  type Server,
  type ServerOpts,
  type Socket,
} from 'node:net';

import {
  ColdLimit,
  coldLimitPolicy,
  defaultColdLimitBounds,
  ProcessProof,
  RequestLimit,
  ServerLimit,
} from '@dogwoodtrestle/fleet';
import {AdaptiveTimeout, systemClock} from '@dogwoodtrestle/runtime';
import {afterEach, vi} from 'vitest';

import {
  Attempt,
  type AttemptFailure,
  type AttemptListener,
  type AttemptOptions,
} from '../../src/attempt.js';
import {ServerConnections} from '../../src/serverConnections.js';
import {PooledServer} from '../../src/serverPool.js';
import {type UnsolicitedPlace} from '../../src/unsolicitedBytes.js';
import {
  type CallerRequest,
  emptyResponseHead,
  type WireCodec,
} from '../../src/wireCodec.js';

/** Time within which a connection to loopback is made. */
const connectMilliseconds = 5_000;

/** Body of a whole response. */
export const body = 'whole';

/** Name of a header of responses to an earlier request. */
export const foreignHeader = 'Foreign';

/** Name of a header of refusals. */
export const refusalHeader = 'Refused';

const request: CallerRequest = {
  attemptId: 'a-1',
  method: 'GET',
  target: '/',
  path: '/',
  host: 'a.example',
  headers: [],
};

const codec: WireCodec = {
  decodeRequest: () => request,
  encodeRequest: () => [],
  decodeResponse: headers => ({
    ...emptyResponseHead,
    attemptId: headers.includes(foreignHeader) ? 'a-0' : request.attemptId,
    isNotExecuted: headers.includes(refusalHeader),
    isSigned: true,
  }),
};

export let server: Server | undefined;
let pooled: PooledServer | undefined;
/** Proof of the server, which needs none. */
const proof = new ProcessProof({
  isLimited: () => false,
  viewAgeMilliseconds: () => 0,
  isListed: () => true,
  isServiceProven: () => false,
});
/** Records that the server's process has ended. */
export const recordEnd = vi.spyOn(proof, 'recordEnd');
/** Where the server sent bytes that no request waited for. */
export const unsolicited: UnsolicitedPlace[] = [];

afterEach(() => {
  pooled?.connections.close();
  server?.close();
  server = undefined;
  unsolicited.length = 0;
  recordEnd.mockClear();
});

/** Starts a server that answers each request by a behaviour. */
export async function startServer(
  answer: (socket: Socket) => void,
  serverOptions: ServerOpts = {},
): Promise<PooledServer> {
  const listening = createServer(serverOptions, socket => {
    socket.on('error', () => undefined);
    socket.on('data', () => answer(socket));
  });
  server = listening;
  await new Promise<void>(resolve => listening.listen(0, '127.0.0.1', resolve));
  const {port} = listening.address() as {port: number};
  const address = `127.0.0.1:${port}`;
  const connections = new ServerConnections(address, {
    clock: systemClock,
    connectTimeout: new AdaptiveTimeout({
      minMilliseconds: connectMilliseconds,
      maxMilliseconds: connectMilliseconds,
    }),
    maxConnectTimeoutMilliseconds: connectMilliseconds,
    onConnect: () => undefined,
    proof,
    onUnsolicited: place => unsolicited.push(place),
  });
  const record = {
    id: 's-1',
    startedAt: 0,
    sequence: 1,
    service: 'plain',
    address,
    state: 'ready',
    slots: 8,
  } as const;
  const wallNow = () => systemClock.wallNow();
  const policy = coldLimitPolicy(defaultColdLimitBounds);
  const options = {terms: () => undefined, policy, wallNow};
  const cold = new ColdLimit(options, systemClock.now());
  const limit = new ServerLimit(new RequestLimit(wallNow), cold);
  pooled = new PooledServer(record, connections, limit);
  return pooled;
}

/** How an attempt ended: the body of a complete response, or the failure. */
export type Outcome = {body: string} | AttemptFailure;

/** Options of an attempt of these tests. */
interface SendOptions {
  mayBeSent?: () => boolean;
  onSignal?: AttemptOptions['onSignal'];
  /** Called in the turn of the event loop in which the attempt ends. */
  onEnd?: () => void;
  /** Called with the attempt once it has begun. */
  onBegin?: (attempt: Attempt) => void;
  /** Takes a chunk; returns false to pause the attempt. */
  onData?: (chunk: Buffer, attempt: Attempt) => boolean;
  /** Body of the request; empty by default. */
  sent?: Buffer;
}

/** Sends one attempt and returns how it ended. */
export async function send(
  target: PooledServer,
  {
    onEnd,
    onData,
    onBegin,
    mayBeSent = () => true,
    onSignal = () => undefined,
    sent = Buffer.alloc(0),
  }: SendOptions = {},
): Promise<Outcome> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    const listener: AttemptListener = {
      onHead: () => undefined,
      onData: chunk => {
        chunks.push(chunk);
        return onData?.(chunk, attempt) ?? true;
      },
      onEnd: () => {
        onEnd?.();
        resolve({body: Buffer.concat(chunks).toString()});
      },
      onFailed: resolve,
    };
    const attempt = new Attempt(
      {
        request,
        body: sent,
        headers: ['host', request.host],
        server: target,
        codec,
        clock: systemClock,
        mayBeSent,
        onSignal,
        onLimit: () => undefined,
      },
      listener,
    );
    onBegin?.(attempt);
  });
}

/** Responses that differ in how the end of the body is marked. */
export const framings: Record<string, {head: string; content: string}> = {
  'by its length': {head: `Content-Length: ${body.length}\r\n`, content: body},
  'by chunks': {
    head: 'Transfer-Encoding: chunked\r\n',
    content: `5\r\n${body}\r\n0\r\n\r\n`,
  },
};

export const statusLine = 'HTTP/1.1 200 OK\r\n';
