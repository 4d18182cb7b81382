/** @fileoverview Tests of the stand-in model server. */
import OpenAI from 'openai';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  responseTokens,
  defaultStandInOptions,
  type FailureMode,
  ModelServer,
} from '../src/index.js';

let server: ModelServer;

beforeEach(async () => {
  server = new ModelServer({...defaultStandInOptions});
  await server.start();
});

afterEach(() => server.stop());

function chat(attempt: string, stream: boolean, content = 'grade lot 7') {
  return fetch(`${server.url}/v1/chat/completions`, {
    method: 'POST',
    headers: {'content-type': 'application/json', 'x-attempt-id': attempt},
    body: JSON.stringify({
      model: 'barley-7b',
      stream,
      messages: [{role: 'user', content}],
    }),
  });
}

describe('ModelServer', () => {
  it('is compatible with the openai client', async () => {
    const client = new OpenAI({baseURL: `${server.url}/v1`, apiKey: 'none'});
    const stream = await client.chat.completions.create({
      model: 'barley-7b',
      messages: [{role: 'user', content: 'say 30 words'}],
      max_tokens: 20,
      stream: true,
    });
    let text = '';
    let usage = 0;
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
      usage = chunk.usage?.completion_tokens ?? usage;
    }
    expect(text).toBe(responseTokens('say 30 words', 20).join(''));
    expect(usage).toBe(20);
  });

  it('echoes the attempt id and resumes the stream', async () => {
    const whole = await (await chat('a1', true)).text();
    const resumed = await fetch(`${server.url}/v1/attempts/a1/stream?after=10`);
    expect(resumed.headers.get('x-attempt-id')).toBe('a1');
    const contents = (await resumed.text()).match(/"content"/g);
    expect(contents).toHaveLength(2);
    expect(whole).toContain('data: [DONE]');
  });

  it('cancels an attempt and reports its usage', async () => {
    server.control({tokenDelayMilliseconds: 50});
    const pending = chat('a2', true, 'say 500 words').then(each => each.text());
    await new Promise(resolve => setTimeout(resolve, 200));
    await fetch(`${server.url}/v1/attempts/a2`, {method: 'DELETE'});
    await pending;
    const report = await fetch(`${server.url}/v1/attempts/a2`);
    const {state, usage} = (await report.json()) as {
      state: string;
      usage: {completion_tokens: number};
    };
    expect(state).toBe('cancelled');
    expect(usage.completion_tokens).toBeLessThan(20);
  });

  const failures: Array<{failure: FailureMode; pattern: RegExp}> = [
    {failure: {kind: 'noTerminator'}, pattern: /^(?![^]*DONE)/},
    {failure: {kind: 'endAfterFirstChunk'}, pattern: /^(?![^]*DONE)/},
    {failure: {kind: 'crossedId'}, pattern: /"id":"crossed-a3"/},
    {
      failure: {kind: 'overReport', factor: 9},
      pattern: /"completion_tokens":108/,
    },
    {failure: {kind: 'dropAfterFirstChunk'}, pattern: /terminated/},
  ];
  it.each(failures)(
    'simulates the failure $failure.kind once',
    async ({failure, pattern}) => {
      server.control({failure, times: 1});
      const text = await chat('a3', true)
        .then(each => each.text())
        .catch(String);
      expect(text).toMatch(pattern);
      expect(await (await chat('a4', true)).text()).toContain('data: [DONE]');
    },
  );
});
