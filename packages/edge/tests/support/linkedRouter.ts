/**
 * @fileoverview A router and idle servers on loopback, behind a link of the router
 * that delays or loses what a test says. Tests mock the runtime by `withFaultyLink`.
 */
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {systemClock} from '@dogwoodtrestle/runtime';
import {type FleetRoute} from '@dogwoodtrestle/schema';

import {type CallerExchange} from '../../src/callerExchange.js';
import {type EdgeOptions} from '../../src/edgeOptions.js';
import {RequestHandler} from '../../src/requestHandler.js';
import {type RefusalReason} from '../../src/refusal.js';
import {type RoutedRequest} from '../../src/routedRequest.js';
import {emptyResponseHead} from '../../src/wireCodec.js';
import {link} from './faultyLink.js';
import {createRouterContext, service} from './routerContext.js';

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

const servers: Server[] = [];

/** Ends all servers, and mends the link. */
export function endServers(): void {
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
  link.connectMilliseconds = () => 0;
  link.isMute = false;
}

/** Starts a server that answers at once, and returns its address. */
async function startServer(): Promise<string> {
  const server = createServer((request, response) => {
    if (link.isMute) return;
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

/** How a request ended. */
export interface Ending {
  outcome: 'delivered' | RefusalReason;
  milliseconds: number;
}

/** Starts a router with idle servers. */
export async function startRouter() {
  const addresses: string[] = [];
  for (let count = 0; count < serverCount; count++) {
    addresses.push(await startServer());
  }
  const {context} = createRouterContext(
    {clock: systemClock, codec},
    addresses.map((address, index) => ({id: `s-${index}`, address})),
  );
  let requests = 0;
  const send = (): Promise<Ending> => {
    const receivedAt = systemClock.now();
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
      receivedAt,
    };
    return new Promise(resolve => {
      const end = (outcome: Ending['outcome']) => {
        resolve({outcome, milliseconds: systemClock.now() - receivedAt});
      };
      const exchange = {
        isStarted: false,
        onDisconnect: () => undefined,
        refuse: end,
        sendResponse: () => end('delivered'),
      } as unknown as CallerExchange;
      const handler = new RequestHandler(context, input, exchange, () => {});
      void handler.start();
    });
  };
  /** Sends requests at an interval. */
  const sendAll = async (
    count: number,
    intervalMilliseconds: number,
  ): Promise<Ending[]> => {
    const sent: Array<Promise<Ending>> = [];
    for (let index = 0; index < count; index++) {
      sent.push(send());
      await sleep(intervalMilliseconds);
    }
    return Promise.all(sent);
  };
  return {addresses, sendAll, context};
}

/** Returns the endings that differ from a delivered response. */
export function failuresOf(endings: readonly Ending[]): Ending[] {
  return endings.filter(({outcome}) => outcome !== 'delivered');
}
