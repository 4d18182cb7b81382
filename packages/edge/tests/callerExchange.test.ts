/**
 * @fileoverview What becomes of a connection whose request is refused, and how
 * responses are delimited.
 */
import {createServer, get, type IncomingMessage} from 'node:http';
import {type AddressInfo} from 'node:net';

import {chunksOf, sendThenRead} from '@dogwoodtrestle/testkit';
import {describe, expect, it} from 'vitest';

import {CallerExchange} from '../src/callerExchange.js';
import {type CallerLimits} from '../src/callerLimits.js';
import {createCallerServer} from '../src/callerServer.js';
import {type RefusalReason, refusals} from '../src/refusal.js';
import {emptyResponseHead, type ResponseHead} from '../src/wireCodec.js';

async function refuse(reason: RefusalReason): Promise<IncomingMessage> {
  const server = createServer((request, response) => {
    new CallerExchange(request, response, () => false).refuse(reason);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const response = await new Promise<IncomingMessage>((resolve, reject) => {
    get({port, agent: false, headers: {connection: 'keep-alive'}}, resolve).on(
      'error',
      reject,
    );
  });
  response.resume();
  server.closeAllConnections();
  server.close();
  return response;
}

/** Refuses a body after its first bytes; returns what its sender then reads. */
async function refuseSender(
  reason: RefusalReason,
  count: number,
): Promise<string> {
  const server = createServer((request, response) => {
    request.once('data', () => {
      new CallerExchange(request, response, () => false).refuse(reason);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const head = 'POST / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked';
  const start = `${head}\r\n\r\n`;
  const part = chunksOf(65_000);
  const answer = await sendThenRead(`127.0.0.1:${port}`, {start, part, count});
  server.close();
  return answer;
}

describe('a refusal', () => {
  // A connection that is closed with unread bytes is reset.
  it.each<[RefusalReason, string, number]>([
    ['memoryFull', 'a little', 8],
    ['memoryFull', 'a lot', 128],
    ['bodyTooLarge', 'a lot', 128],
  ])(
    'for %s reaches a caller that sends %s first',
    async (reason, _, count) => {
      const {status} = refusals[reason];
      const answer = await refuseSender(reason, count);
      expect(answer).toMatch(`HTTP/1.1 ${status}`);
    },
  );

  // Guards against callers that stay at an overloaded router on their kept
  // connections (issue 37).
  it.each<[RefusalReason, string]>([
    ['routerBusy', 'close'],
    ['grantUnavailable', 'keep-alive'],
    ['noServer', 'keep-alive'],
  ])('for %s leaves the connection to %s', async (reason, connection) => {
    const {headers, statusCode} = await refuse(reason);
    expect(statusCode).toBe(503);
    expect(headers.connection).toBe(connection);
  });
});

/** Head of a response without a length. */
const unframedHead: ResponseHead = {...emptyResponseHead, isUnframed: true};

const body = Buffer.from('body');

/** Ways in which a whole response is written, and what its caller gets. */
const writers: Record<string, [(exchange: CallerExchange) => void, RegExp]> = {
  'as it arrives': [
    exchange => {
      exchange.start(unframedHead, 200);
      exchange.write(body, () => undefined);
      exchange.end();
    },
    /transfer-encoding: chunked\r\n(.*\r\n)*\r\n4\r\nbody\r\n0\r\n\r\n$/i,
  ],
  'at once': [
    exchange => exchange.sendResponse(unframedHead, 200, body),
    /content-length: 4\r\n(.*\r\n)*\r\nbody$/i,
  ],
};

/** Returns the bytes of a response, to the close of its connection. */
async function respond(
  head: string,
  write: (exchange: CallerExchange) => void,
): Promise<string> {
  const server = createServer((request, response) => {
    write(new CallerExchange(request, response, () => true));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const start = `${head}\r\nHost: s\r\n\r\n`;
  const bytes = {start, part: Buffer.alloc(0), count: 0};
  const answer = await sendThenRead(`127.0.0.1:${port}`, bytes);
  server.close();
  return answer;
}

describe('a response without a length', () => {
  // Guards against bodies that look whole wherever their connection ended (MIXED).
  it.each(Object.keys(writers))(
    'has an end of its own, sent %s',
    async name => {
      const [write, bytes] = writers[name]!;
      expect(await respond('GET / HTTP/1.1', write)).toMatch(bytes);
    },
  );

  it.each([
    ['GET / HTTP/1.1', 204],
    ['GET / HTTP/1.1', 304],
    ['HEAD / HTTP/1.1', 200],
  ])('to %s and of the status %i gets no length', async (head, status) => {
    const answer = await respond(head, exchange =>
      exchange.sendResponse(unframedHead, status, Buffer.alloc(0)),
    );
    expect(answer).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    expect(answer).not.toMatch(/content-length|transfer-encoding/i);
  });

  // Guards against a length that isn't the resource's own.
  it.each([
    ['HEAD / HTTP/1.1', 200, ['content-length', '9'], '9'],
    ['HEAD / HTTP/1.1', 200, [], undefined],
    ['GET / HTTP/1.1', 304, ['content-length', '9'], '9'],
    ['GET / HTTP/1.1', 204, ['content-length', '0'], undefined],
  ])(
    'to %s and of the status %i with the headers %j gets the length %s',
    async (head, status, headers, length) => {
      const answer = await respond(head, exchange => {
        const framedHead = {...emptyResponseHead, headers};
        exchange.sendResponse(framedHead, status, Buffer.alloc(0));
      });
      expect(/content-length: (\d+)/i.exec(answer)?.[1]).toBe(length);
      expect(answer).not.toMatch(/transfer-encoding/i);
    },
  );

  it('has one for a caller of HTTP/1.0', async () => {
    const [write, bytes] = writers['at once']!;
    expect(await respond('GET / HTTP/1.0', write)).toMatch(bytes);
  });
});

describe('bytes that are no request', () => {
  /** Returns what a caller reads that sends them, after other bytes if any. */
  async function sendMalformed(before: string): Promise<string> {
    const limits = {record: () => undefined} as unknown as CallerLimits;
    const options = {maxCallerConnections: 10};
    const server = createCallerServer(options, limits, () => undefined);
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const bytes = {start: before, part: Buffer.from('\0\r\n\r\n'), count: 1};
    const answer = await sendThenRead(`127.0.0.1:${port}`, bytes);
    server.close();
    return answer;
  }

  it('are refused, with an end of its own', async () => {
    const answer = await sendMalformed('');
    expect(answer).toMatch(/^HTTP\/1.1 400 .*\r\ncontent-length: 0\r\n/is);
  });

  // Guards against a refusal that is taken for the answer to an earlier request.
  it('are not refused behind a request that runs', async () => {
    expect(await sendMalformed('GET / HTTP/1.1\r\nHost: s\r\n\r\n')).toBe('');
  });
});
