/** @fileoverview Tests the encoding of messages between processes. */
import {gzipSync} from 'node:zlib';

import fc from 'fast-check';
import {afterEach, describe, expect, it} from 'vitest';

import {
  type CallHandlers,
  encodeMessage,
  PeerCallClient,
  PeerCallServer,
  shareEncoding,
  silentLogger,
} from '../src/index.js';
import {exceedsValues} from '../src/jsonValues.js';
import {decodeMessage, TooManyValues} from '../src/messageEncoding.js';

const host = '127.0.0.1';
const port = 21_906;
const maxBytes = 1_000_000;
const timeoutMilliseconds = 5_000;

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

function createRoutes(count: number): object[] {
  return Array.from({length: count}, (_, index) => ({
    name: `route-${index}`,
    pathPrefix: `/prefix-${index}/`,
    kind: 'streaming',
  }));
}

async function startServer(handlers: CallHandlers) {
  const records: Array<{bytes: number; isSent: boolean}> = [];
  const server = new PeerCallServer({
    host,
    port,
    handlers,
    logger: silentLogger,
    onReplied: record => records.push(record),
  });
  await server.listen();
  closers.push(() => server.close());
  const client = new PeerCallClient();
  closers.push(() => client.close());
  const call = (method: string, message: unknown = {}) =>
    client.call(`${host}:${port}`, method, message, {timeoutMilliseconds});
  return {call, records};
}

describe('a message', () => {
  const parts = fc.array(
    fc.jsonValue().map(value => ({value, pad: 'ä'.repeat(3_000)})),
  );

  it('is read as it was written, with shared parts and without', () => {
    fc.assert(
      fc.property(parts, fc.jsonValue(), fc.boolean(), (list, own, isShort) => {
        if (list[0] !== undefined) shareEncoding(list[0]);
        const shared = shareEncoding({list: isShort ? [] : list});
        const message = {
          own,
          list,
          missing: undefined,
          shared,
          'q"ä': [shared],
        };
        const expected: unknown = JSON.parse(JSON.stringify(message));
        for (const isCompressible of [true, false, true]) {
          const encoded = encodeMessage(message, {isCompressible});
          const {body, isCompressed} = encoded;
          const encoding = isCompressed ? 'gzip' : undefined;
          expect(decodeMessage(body, encoding, maxBytes)).toEqual(expected);
        }
      }),
    );
  });

  // Guards against a part of a message that is taken for whole.
  it.each([true, false])(
    'is not read if it ends at any byte, compressed: %s',
    isCompressible => {
      const shared = shareEncoding({put: createRoutes(60)});
      const message = {own: createRoutes(2), list: [shared, shared], shared};
      const encoded = encodeMessage(message, {isCompressible});
      expect(encoded.isCompressed).toBe(isCompressible);
      const encoding = encoded.isCompressed ? 'gzip' : undefined;
      for (let length = 0; length < encoded.body.length; length++) {
        const cut = encoded.body.subarray(0, length);
        expect(() => decodeMessage(cut, encoding, maxBytes)).toThrow();
      }
    },
  );

  it('is not read if it is too long once it is decompressed', () => {
    const body = gzipSync(`"${'z'.repeat(2 * maxBytes)}"`);
    expect(() => decodeMessage(body, 'gzip', maxBytes)).toThrow();
  });
});

// Guards against a leader that writes the same change for each router, and sends
// more than its link carries (issue 49).
describe('the values of a message', () => {
  const countValues = (value: unknown): number =>
    typeof value === 'object' && value !== null
      ? Object.values(value).reduce(
          (sum: number, field) =>
            sum + countValues(field) + (Array.isArray(value) ? 0 : 1),
          1,
        )
      : 1;

  it('are counted, but for two of each list or object', () => {
    const values = fc.jsonValue({stringUnit: 'binary'});
    fc.assert(
      fc.property(values, value => {
        const text = Buffer.from(JSON.stringify(value));
        let most = 0;
        while (exceedsValues(text, most)) most++;
        const expected = countValues(value);
        expect(most).toBeGreaterThanOrEqual(expected);
        expect(most).toBeLessThanOrEqual(2 * expected);
      }),
    );
  });

  it.each([undefined, 'gzip'])('have a limit in encoding %s', encoding => {
    const text = Buffer.from(`[${'{},'.repeat(100)}{}]`);
    const body = encoding === undefined ? text : gzipSync(text);
    expect(() => decodeMessage(body, encoding, maxBytes, 200)).toThrow(
      TooManyValues,
    );
    expect(decodeMessage(body, encoding, maxBytes, 400)).toHaveLength(101);
  });
});

describe('a change for many receivers', () => {
  it('is written and compressed once', () => {
    const change = shareEncoding({put: createRoutes(1_700), removed: []});
    const encode = (router: number) =>
      encodeMessage({router, change}, {isCompressible: true});
    const first = encode(1);
    const second = encode(2);
    expect(first.compressedLength).toBeGreaterThan(first.length - 100);
    expect(second.writtenLength).toBeLessThan(50);
    expect(second.compressedLength).toBeLessThan(50);
    expect(second.body.length).toBeLessThan(second.length / 5);
  });
});

describe('a call between processes', () => {
  it('is replied to in fewer bytes than its JSON', async () => {
    const reply = {routes: createRoutes(500)};
    const {call, records} = await startServer({routes: async () => reply});
    expect(await call('routes')).toEqual(reply);
    const {length} = JSON.stringify(reply);
    await expect.poll(() => records.length).toBe(1);
    expect(records[0]).toMatchObject({isSent: true});
    expect(records[0]!.bytes).toBeLessThan(length / 4);
  });

  it('may be compressed once the receiver is known to read it', async () => {
    const {call} = await startServer({
      echo: async message => message,
    });
    const message = {entries: createRoutes(500)};
    for (let count = 0; count < 3; count++) {
      expect(await call('echo', message)).toEqual(message);
    }
  });

  // Guards against processes of the version before, which read no compressed
  // messages and say so by their silence.
  it('is replied to in plain JSON where the caller asks for nothing else', async () => {
    const reply = {routes: createRoutes(500)};
    await startServer({routes: async () => reply});
    const response = await fetch(`http://${host}:${port}/routes`, {
      method: 'POST',
      body: '{}',
      headers: {'accept-encoding': 'identity'},
    });
    expect(response.headers.get('content-encoding')).toBeNull();
    expect(await response.json()).toEqual(reply);
  });

  // Guards against clients whose texts, kept by V8 for their syntax errors, took a
  // process beyond the memory of its machine (issue 60).
  it('is the last one of its connection if it is not JSON', async () => {
    await startServer({echo: async message => message});
    const response = await fetch(`http://${host}:${port}/echo`, {
      method: 'POST',
      body: 'x'.repeat(20_000),
    });
    expect(response.status).toBe(400);
    expect(response.headers.get('connection')).toBe('close');
  });
});
