/**
 * @fileoverview Responses of the callers' API tell their end by more than a close,
 * also to callers that read no chunks.
 */
import {sendThenRead} from '@dogwoodtrestle/testkit';
import {afterEach, describe, expect, it} from 'vitest';

import {callerKey, RequestFixture} from './fixture.js';

let fixture: RequestFixture;

afterEach(() => fixture.stop());

/** Returns the bytes of a response to the close of its connection. */
async function callOld(method: string, url: string, body: string) {
  fixture = await RequestFixture.start();
  await fixture.startModel();
  await fixture.startService();
  const start =
    `${method} ${url} HTTP/1.0\r\nHost: s\r\n` +
    `Authorization: Bearer ${callerKey}\r\nContent-Type: application/json\r\n` +
    `Content-Length: ${body.length}\r\n\r\n${body}`;
  const part = Buffer.alloc(0);
  const {host} = new URL(fixture.base);
  return sendThenRead(host, {start, part, count: 0});
}

const chat = {
  model: 'barley-7b',
  messages: [{role: 'user', content: 'How much protein has lot 7?'}],
  max_tokens: 8,
};

const calls: Record<string, [string, string, string]> = {
  'a chat': ['POST', '/v1/chat/completions', JSON.stringify(chat)],
  'the models': ['GET', '/v1/models', ''],
  'a service': ['POST', '/services/bookings/notes', '{"note": "b"}'],
  'a refusal': ['POST', '/v1/chat/completions', '{'],
  'no such resource': ['GET', '/none', ''],
};

describe('a response to a caller of HTTP/1.0', () => {
  // Guards against a part of a response that looks whole: the daemon was killed, and
  // the kernel closes the connections of its process in an orderly way.
  it.each(Object.keys(calls))('has a length: %s', async name => {
    const answer = await callOld(...calls[name]!);
    const [head = '', body = ''] = answer.split('\r\n\r\n');
    const length = /^content-length: (\d+)\r?$/im.exec(head)?.[1];
    expect(Number(length)).toBe(Buffer.byteLength(body));
    expect(body).not.toBe('');
  });

  it('ends with the last event: a streamed chat', async () => {
    const body = JSON.stringify({...chat, stream: true});
    const answer = await callOld('POST', '/v1/chat/completions', body);
    expect(answer).toMatch(/^HTTP\/1.1 200 [^]*\ndata: \[DONE\]\n\n$/);
  });
});
