/** @fileoverview Tests of the API for callers with the OpenAI client. */
import OpenAI from 'openai';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {callerKey, RequestFixture} from './fixture.js';

let fixture: RequestFixture;
let client: OpenAI;

const question = {
  model: 'barley-7b',
  messages: [{role: 'user' as const, content: 'How plump is lot 12?'}],
};

beforeAll(async () => {
  fixture = await RequestFixture.start();
  await fixture.startModel();
  client = new OpenAI({
    baseURL: `${fixture.base}/v1`,
    apiKey: callerKey,
    maxRetries: 0,
  });
});

afterAll(() => fixture.stop());

describe('the openai client', () => {
  it('lists the models of the contract', async () => {
    const models = await client.models.list();
    expect(models.data.map(({id}) => id)).toEqual(['barley-7b']);
  });

  it('gets a response with its usage', async () => {
    const answer = await client.chat.completions.create({
      ...question,
      max_tokens: 5,
    });
    expect(answer.choices[0]?.message.content).toEqual(expect.any(String));
    expect(answer.usage?.completion_tokens).toBe(5);
    const {billed} = await fixture.settledBudget();
    const {prompt_tokens: input = 0} = answer.usage ?? {};
    expect(billed).toBe(input + 2 * 5);
  });

  it('gets a stream with the same text and a usage chunk', async () => {
    const whole = await client.chat.completions.create(question);
    const stream = await client.chat.completions.create({
      ...question,
      stream: true,
      stream_options: {include_usage: true},
    });
    let text = '';
    let usage: unknown;
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
      usage = chunk.usage ?? usage;
    }
    expect(text).toBe(whole.choices[0]?.message.content);
    expect(usage).toEqual(whole.usage);
  });

  it('gets the same response for the same Idempotency-Key, billed once', async () => {
    const options = {headers: {'idempotency-key': 'same'}};
    const before = (await fixture.settledBudget()).billed;
    const first = await client.chat.completions.create(question, options);
    const after = (await fixture.settledBudget()).billed;
    const second = await client.chat.completions.create(question, options);
    expect(second).toEqual(first);
    expect(after).toBeGreaterThan(before);
    expect((await fixture.settledBudget()).billed).toBe(after);
  });

  it('maps error responses to its own error types', async () => {
    const wrongKey = new OpenAI({
      baseURL: `${fixture.base}/v1`,
      apiKey: 'wrong',
      maxRetries: 0,
    });
    await expect(wrongKey.models.list()).rejects.toBeInstanceOf(
      OpenAI.AuthenticationError,
    );
    const error = await client.chat.completions
      .create({...question, model: 'oats'})
      .catch((caught: unknown) => caught);
    expect(error).toBeInstanceOf(OpenAI.NotFoundError);
    expect(error).toMatchObject({code: 'modelNotAllowed', param: 'model'});
  });
});
