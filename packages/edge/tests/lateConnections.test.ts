/**
 * @fileoverview What a router whose link is busy does with connections to servers
 * that come late, with real servers on loopback.
 */
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import type * as runtime from '@dogwoodtrestle/runtime';
import {type ConnectCallback, systemClock} from '@dogwoodtrestle/runtime';
import {type FleetRoute} from '@dogwoodtrestle/schema';
import {afterEach, describe, expect, it, vi} from 'vitest';

import {type CallerExchange} from '../src/callerExchange.js';
import {type EdgeOptions} from '../src/edgeOptions.js';
import {RequestHandler} from '../src/requestHandler.js';
import {type RoutedRequest} from '../src/routedRequest.js';
import {emptyResponseHead} from '../src/wireCodec.js';
import {createRouterContext, service} from './support/routerContext.js';

/** Time that the link adds to each connection, in milliseconds. */
let linkDelay: (address: string) => number = () => 0;

vi.mock('@dogwoodtrestle/runtime', async importOriginal => {
  const actual = await importOriginal<typeof runtime>();
  const openSocket: typeof actual.openSocket = (address, options, callback) => {
    const delayMilliseconds = linkDelay(address);
    const end: ConnectCallback = (...outcome) => {
      const [, socket] = outcome;
      setTimeout(
        () => {
          if (delayMilliseconds <= options.timeoutMilliseconds) {
            callback(...outcome);
            return;
          }
          socket?.destroy();
          callback(new Error('connection attempt timed out'), null);
        },
        Math.min(delayMilliseconds, options.timeoutMilliseconds),
      );
    };
    return actual.openSocket(address, options, end);
  };
  return {...actual, openSocket};
});

const attemptHeader = 'attempt';

const codec: EdgeOptions['codec'] = {
  decodeRequest: () => undefined,
  encodeRequest: ({attemptId, host}) => [
    'host',
    host,
    attemptHeader,
    attemptId,
  ],
  decodeResponse: headers => ({
    ...emptyResponseHead,
    attemptId: headers[headers.indexOf(attemptHeader) + 1],
    isSigned: true,
  }),
};

const route: FleetRoute = {
  name: 'orders',
  host: 'orders.example',
  pathPrefix: '/',
  kind: 'nonIdempotent',
  timeoutMilliseconds: 3_000,
  latencyGoalMilliseconds: 1_600,
  priority: 1,
  targets: [{service, weight: 1}],
  maxAttempts: 2,
  isPublic: true,
  isResumable: false,
};

let servers: Server[] = [];

afterEach(() => {
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
  servers = [];
  linkDelay = () => 0;
});

/** Starts a server that answers at once, and returns its address. */
async function startServer(): Promise<string> {
  const server = createServer((request, response) => {
    response.setHeader(attemptHeader, String(request.headers[attemptHeader]));
    response.end('whole');
  });
  servers.push(server);
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const serverCount = 12;

/** A router with idle servers, and how its requests ended. */
async function startRouter() {
  const addresses: string[] = [];
  for (let count = 0; count < serverCount; count++) {
    addresses.push(await startServer());
  }
  const {context} = createRouterContext(
    {clock: systemClock, codec},
    addresses.map((address, index) => ({id: `s-${index}`, address})),
  );
  const endings: string[] = [];
  let requests = 0;
  const send = (): Promise<void> => {
    const input: RoutedRequest = {
      request: {
        attemptId: `a-${requests++}`,
        method: 'POST',
        target: '/',
        path: '/',
        host: route.host,
        headers: [],
      },
      body: Buffer.alloc(0),
      route,
      service,
      configurationVersion: 1,
      receivedAt: systemClock.now(),
    };
    return new Promise(resolve => {
      const exchange = {
        isStarted: false,
        onDisconnect: () => undefined,
        refuse: (reason: string) => endings.push(reason),
        sendResponse: () => endings.push('delivered'),
      } as unknown as CallerExchange;
      void new RequestHandler(context, input, exchange, resolve).start();
    });
  };
  /** Sends requests at an interval. */
  const sendAll = async (count: number, intervalMilliseconds: number) => {
    const sent: Array<Promise<void>> = [];
    for (let index = 0; index < count; index++) {
      sent.push(send());
      await sleep(intervalMilliseconds);
    }
    await Promise.all(sent);
  };
  return {addresses, endings, sendAll, pool: context.pool};
}

/** Returns the endings that differ from a delivered response. */
function failuresOf(endings: readonly string[]): string[] {
  return endings.filter(ending => ending !== 'delivered');
}

// Guards against a router that takes its own busy link for unreachable servers: it
// refused all requests of the workspace that enters there (issue 63).
describe('a router whose link delays connections', () => {
  it.each([600, 900, 1_300])(
    'sends its requests to idle servers: %d ms',
    async delay => {
      const {endings, sendAll, pool} = await startRouter();
      await sendAll(10, 10);
      pool.close();
      linkDelay = () => delay;
      await sendAll(60, 30);
      expect(endings).toHaveLength(70);
      expect(failuresOf(endings)).toEqual([]);
    },
    10_000,
  );
});

describe('a server that no connection reaches', () => {
  it('is avoided while others are reached', async () => {
    const {addresses, endings, sendAll, pool} = await startRouter();
    const [unreachable] = addresses;
    linkDelay = address => (address === unreachable ? Infinity : 0);
    await sendAll(40, 10);
    expect(failuresOf(endings)).toEqual([]);
    const barred = pool.find('s-0')!.bar;
    await sleep(2_000);
    expect(barred.reason).toBe('unreachable');
  });
});
