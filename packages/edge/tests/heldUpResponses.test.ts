/**
 * @fileoverview Responses that are held up though their servers do their part, or
 * that no other server could go on with: they stay with their servers.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';

import {systemClock} from '@dogwoodtrestle/runtime';
import {type FleetRoute} from '@dogwoodtrestle/schema';
import {afterEach, describe, expect, it} from 'vitest';

import {type CallerExchange} from '../src/callerExchange.js';
import {type EdgeOptions} from '../src/edgeOptions.js';
import {RequestHandler} from '../src/requestHandler.js';
import {emptyResponseHead} from '../src/wireCodec.js';
import {createRouterContext, service} from './support/routerContext.js';

const attemptHeader = 'attempt';

const codec: EdgeOptions['codec'] = {
  decodeRequest: () => undefined,
  encodeRequest: ({attemptId, host}) => [
    ...['host', host],
    ...[attemptHeader, attemptId],
  ],
  decodeResponse: headers => ({
    ...emptyResponseHead,
    attemptId: headers[headers.indexOf(attemptHeader) + 1],
    isSigned: true,
  }),
};

const route: FleetRoute = {
  name: 'summaries',
  host: 'summaries.example',
  pathPrefix: '/',
  kind: 'streaming',
  timeoutMilliseconds: 12_000,
  latencyGoalMilliseconds: 1_600,
  priority: 1,
  targets: [{service, weight: 1}],
  maxAttempts: 2,
  isPublic: true,
  isResumable: true,
};

/** Time for which a response is held up: longer than a router's patience. */
const pauseMilliseconds = 3_200;

const servers: Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

type Behaviour = (request: IncomingMessage, response: ServerResponse) => void;

async function startServer(behaviour: Behaviour): Promise<string> {
  const server = createServer((request, response) => {
    response.setHeader(attemptHeader, String(request.headers[attemptHeader]));
    behaviour(request, response);
  });
  servers.push(server);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** What a test varies. */
interface HeldUpRequest {
  behaviour: Behaviour;
  serverCount: number;
  kind: FleetRoute['kind'];
  /** Whether the caller pauses after what it gets first. */
  isCallerSlow: boolean;
}

/** Sends a request; returns what the caller got and how many servers had it. */
async function send({
  behaviour,
  serverCount,
  kind,
  isCallerSlow,
}: HeldUpRequest) {
  let requests = 0;
  const answer: Behaviour = (...call) => {
    requests++;
    behaviour(...call);
  };
  const addresses: string[] = [];
  for (let count = 0; count < serverCount; count++) {
    addresses.push(await startServer(answer));
  }
  const {context} = createRouterContext(
    {clock: systemClock, codec},
    addresses.map((address, index) => ({id: `s-${index}`, address})),
  );
  const chunks: Buffer[] = [];
  let mustPause = isCallerSlow;
  const outcome = await new Promise<string>(resolve => {
    const exchange = {
      isStarted: false,
      isStartedUnframed: false,
      readsChunks: true,
      canDelimit: () => true,
      onDisconnect: () => undefined,
      start: () => (exchange.isStarted = true),
      startStream: () => (exchange.isStarted = true),
      write: (data: Buffer, onDrain: () => void) => {
        chunks.push(data);
        if (!mustPause) return true;
        mustPause = false;
        setTimeout(onDrain, pauseMilliseconds);
        return false;
      },
      end: () => resolve('whole'),
      abort: () => resolve('broken off'),
      refuse: resolve,
    };
    const input = {
      request: {
        attemptId: 'a-1',
        method: 'GET',
        target: '/',
        path: '/',
        host: route.host,
        headers: [],
      },
      body: Buffer.alloc(0),
      route: {...route, kind},
      service,
      configurationVersion: 1,
      receivedAt: systemClock.now(),
    };
    const caller = exchange as unknown as CallerExchange;
    const handler = new RequestHandler(context, input, caller, () => {});
    void handler.start();
  });
  return {outcome, body: Buffer.concat(chunks).toString(), requests};
}

const event = (id: number) => `id: ${id}\ndata: d${id}\n\n`;

const eventCount = 20;

const allEvents = Array.from({length: eventCount}, (_, index) =>
  event(index + 1),
).join('');

/** Writes events at an interval, after the last one that the router has. */
const streamEvents: Behaviour = ({headers}, response) => {
  let last = Number(headers['last-event-id'] ?? 0);
  const timer = setInterval(() => {
    response.write(event(++last));
    if (last < eventCount) return;
    clearInterval(timer);
    response.end();
  }, 50);
  response.once('close', () => clearInterval(timer));
};

/** An answer that is passed on before its end, and its two parts. */
const longAnswer = 'a'.repeat(600_000);
const firstPart = longAnswer.slice(0, 400_000);
const lastPart = longAnswer.slice(400_000);

const answerAtOnce: Behaviour = (_, response) => {
  response.setHeader('content-length', longAnswer.length);
  response.end(longAnswer);
};

const pauseInside: Behaviour = (_, response) => {
  response.setHeader('content-length', longAnswer.length);
  response.write(firstPart);
  setTimeout(() => response.end(lastPart), pauseMilliseconds);
};

describe('a response whose caller does not read for a while', () => {
  // Guards against a sound server that is left, as a stalled one, because the caller
  // is slow (issue 70): a second one works in vain, or the stream is broken off.
  it.each<[string, number, FleetRoute['kind'], Behaviour, string]>([
    ['a stream, one server', 1, 'streaming', streamEvents, allEvents],
    ['a stream, two servers', 2, 'streaming', streamEvents, allEvents],
    ['an answer, two servers', 2, 'idempotent', answerAtOnce, longAnswer],
  ])(
    'stays with its server: %s',
    async (_, serverCount, kind, behaviour, body) => {
      const call = {serverCount, kind, behaviour, isCallerSlow: true};
      const result = await send(call);
      expect(result.outcome).toBe('whole');
      expect(result.body === body).toBe(true);
      expect(result.requests).toBe(1);
    },
  );
});

describe('an answer that the caller has in part', () => {
  // Guards against an answer that is broken off as its server is silent for a
  // while, for another one that no caller could be given any more (issue 70).
  it.each([1, 2])('stays with its server, one of %i', async serverCount => {
    const result = await send({
      behaviour: pauseInside,
      serverCount,
      kind: 'idempotent',
      isCallerSlow: false,
    });
    expect(result.outcome).toBe('whole');
    expect(result.body === longAnswer).toBe(true);
    expect(result.requests).toBe(1);
  });
});
