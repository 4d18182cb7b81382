/** @fileoverview Tests of refusals for invalid requests and disconnects. */
import net from 'node:net';

import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {callerKey, RequestFixture} from './fixture.js';

let fixture: RequestFixture;

beforeAll(async () => {
  fixture = await RequestFixture.start({
    requests: {maximumBodyBytes: 2048, bodyTimeoutMilliseconds: 600},
    standIn: {tokenDelayMilliseconds: 20},
  });
  await fixture.startModel();
});

afterAll(() => fixture.stop());

interface Case {
  name: string;
  path?: string;
  body: string;
  headers?: Record<string, string>;
  status: number;
  code: string;
}

const cases: Case[] = [
  {name: 'malformed JSON', body: '{"model":', status: 400, code: 'invalidJson'},
  {name: 'an empty body', body: '', status: 400, code: 'invalidJson'},
  {
    name: 'a body larger than the limit',
    body: 'x'.repeat(4096),
    status: 413,
    code: 'bodyTooLarge',
  },
  {
    name: 'an unsupported content type',
    body: '{}',
    headers: {'content-type': 'text/plain'},
    status: 415,
    code: 'unsupportedMediaType',
  },
  {
    name: 'an unknown model',
    body: '{"model":"oats","messages":[{"role":"user","content":"hi"}]}',
    status: 404,
    code: 'modelNotAllowed',
  },
  {
    name: 'an unknown key',
    body: '{}',
    headers: {authorization: 'Bearer wrong'},
    status: 401,
    code: 'unknownKey',
  },
  {
    name: 'a missing key',
    body: '{}',
    headers: {authorization: ''},
    status: 401,
    code: 'missingKey',
  },
  {
    name: 'an Idempotency-Key that is too long',
    body: '{"model":"barley-7b","messages":[{"role":"user","content":"hi"}]}',
    headers: {'idempotency-key': 'k'.repeat(257)},
    status: 400,
    code: 'invalidRequest',
  },
  {
    name: 'a service that is not in the contract',
    path: '/services/oats/x',
    body: '{}',
    status: 404,
    code: 'serviceNotAllowed',
  },
  {
    name: 'a service without a backend server',
    path: '/services/bookings/x',
    body: '{}',
    status: 503,
    code: 'noBackend',
  },
];

describe('bad input', () => {
  it.each(cases)(
    'refuses $name',
    async ({path, body, headers, status, code}) => {
      const answer = await fixture.post(path ?? '/v1/chat/completions', {
        body,
        headers,
      });
      const {error} = (await answer.json()) as {error: Record<string, unknown>};
      expect({
        status: answer.status,
        code: error['code'],
        didNotRun: error['didNotRun'],
      }).toEqual({status, code, didNotRun: true});
      expect(error['message']).toEqual(expect.any(String));
      expect(await fixture.settledBudget()).toMatchObject({
        billed: 0,
        reserved: 0,
      });
    },
  );

  const rawCases = [
    {
      name: 'both Content-Length and Transfer-Encoding',
      head: ['content-length: 5', 'transfer-encoding: chunked'],
      body: '0\r\n\r\n',
      expected: /^HTTP\/1\.1 400 /,
    },
    {
      name: 'a body that never ends',
      head: ['content-length: 500'],
      body: '{',
      expected: /^HTTP\/1\.1 408 /,
    },
  ];
  it.each(rawCases)('refuses $name', async ({head, body, expected}) => {
    const answer = await exchange(
      [
        'POST /v1/chat/completions HTTP/1.1',
        'host: x',
        `authorization: Bearer ${callerKey}`,
        'content-type: application/json',
        ...head,
        '',
        body,
      ].join('\r\n'),
    );
    expect(answer).toMatch(expected);
    expect(answer).toContain('"didNotRun":true');
  });

  // Guards against a refusal that is written in place of the answer to an earlier
  // request of the connection, which runs, or into the middle of it.
  it.each([true, false])(
    'answers no bytes behind a request that runs, streamed: %s',
    async stream => {
      const body = JSON.stringify({
        model: 'barley-7b',
        stream,
        max_tokens: 200,
        messages: [{role: 'user', content: 'word '.repeat(100)}],
      });
      const lines = [
        'POST /v1/chat/completions HTTP/1.1',
        'host: x',
        `authorization: Bearer ${callerKey}`,
        'content-type: application/json',
        `content-length: ${body.length}`,
      ];
      const bytes = `${lines.join('\r\n')}\r\n\r\n${body}`;
      const answer = await exchange(bytes, '\0\r\n\r\n');
      expect(answer).toMatch(stream ? /^HTTP\/1.1 200 / : /^$/);
      expect(answer).not.toContain('didNotRun');
      await fixture.settledBudget();
    },
  );

  it('settles the request of a client that disconnects during a stream', async () => {
    const closed = new AbortController();
    const answer = await fetch(`${fixture.base}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${callerKey}`,
      },
      body: JSON.stringify({
        model: 'barley-7b',
        stream: true,
        max_tokens: 200,
        messages: [{role: 'user', content: 'word '.repeat(100)}],
      }),
      signal: closed.signal,
    });
    await answer.body!.getReader().read();
    closed.abort();
    await fixture.settledBudget();
    const settled = fixture.commands.at(-1);
    expect(settled).toMatchObject({
      kind: 'settleRequest',
      outcome: 'cancelled',
    });
  });
});

/** Time in which a request begins to run, and does not end. */
const laterMilliseconds = 100;

/** Sends raw bytes and returns all data received until the connection closes. */
function exchange(bytes: string, later = ''): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(Number(new URL(fixture.base).port), '127.0.0.1');
    let answer = '';
    socket.on('data', data => (answer += data.toString()));
    socket.on('close', () => resolve(answer));
    socket.on('error', reject);
    socket.write(bytes);
    if (later === '') return;
    setTimeout(() => socket.write(later), laterMilliseconds);
  });
}
