/** @fileoverview Tests of cost bounds and of the validation of chat bodies. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {parseChatBody} from '../../src/requests/chatBody.js';
import {boundCost} from '../../src/requests/costBound.js';
import {type Refusal} from '../../src/requests/refusal.js';

const terms = {name: 'm', inputPrice: 3, outputPrice: 9, adapters: []};

describe('boundCost', () => {
  it('never counts fewer input tokens than the prompt has bytes', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            role: fc.constantFrom('user', 'system'),
            content: fc.string({unit: 'grapheme'}),
          }),
          {minLength: 1},
        ),
        messages => {
          const {maximumInputTokens, maximumCost} = boundCost(
            {model: 'm', messages},
            terms,
            10,
          );
          const bytes = messages.reduce(
            (sum, {content}) => sum + Buffer.byteLength(content),
            0,
          );
          expect(maximumInputTokens).toBeGreaterThanOrEqual(bytes);
          expect(maximumCost).toBe(maximumInputTokens * 3 + 90);
        },
      ),
      {seed: 11, numRuns: 200},
    );
  });
});

const message = {role: 'user', content: 'hello'};
const invalidBodies = [
  {
    name: 'no model',
    body: {messages: [message]},
    code: 'invalidRequest',
    param: 'model',
  },
  {
    name: 'no messages',
    body: {model: 'm', messages: []},
    code: 'invalidRequest',
    param: 'messages',
  },
  {
    name: 'a negative max_tokens',
    body: {model: 'm', messages: [message], max_tokens: -1},
    code: 'invalidRequest',
    param: 'max_tokens',
  },
  {
    name: 'more than one choice',
    body: {model: 'm', messages: [message], n: 2},
    code: 'invalidRequest',
    param: 'n',
  },
  {name: 'an array', body: [], code: 'invalidRequest', param: undefined},
  {
    name: 'an image',
    body: {
      model: 'm',
      messages: [{role: 'user', content: [{type: 'image_url'}]}],
    },
    code: 'unsupportedContent',
    param: 'messages.0.content',
  },
];

describe('parseChatBody', () => {
  it.each(invalidBodies)('refuses $name', ({body, code, param}) => {
    let error: unknown;
    try {
      parseChatBody(body);
    } catch (caught) {
      error = caught;
    }
    const {reason, detail} = error as Refusal;
    expect({reason, param: detail.param}).toEqual({reason: code, param});
  });

  it('reports all findings at once', () => {
    expect(() => parseChatBody({max_tokens: 0})).toThrow(
      /model.*messages.*max_tokens/,
    );
  });

  it('accepts text parts', () => {
    const content = [{type: 'text', text: 'hello'}];
    const body = {model: 'm', messages: [{role: 'user', content}]};
    expect(parseChatBody(body)).toBe(body);
  });
});
