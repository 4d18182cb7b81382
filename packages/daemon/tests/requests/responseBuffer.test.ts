/** @fileoverview Tests of buffered and stored responses. */
import {describe, expect, it} from 'vitest';

import {ResponseBuffer} from '../../src/requests/responseBuffer.js';
import {ResponseStore} from '../../src/requests/responseStore.js';

async function readAll(answer: ResponseBuffer): Promise<string> {
  let text = '';
  for await (const piece of answer.read(new AbortController().signal)) {
    text += piece;
  }
  return text;
}

function completeResponse(text: string): ResponseBuffer {
  return ResponseBuffer.fromStored({
    status: 200,
    contentType: 'text/plain',
    body: text,
  });
}

describe('ResponseBuffer', () => {
  it('yields the response from its start to a late reader', async () => {
    const answer = new ResponseBuffer();
    await answer.push('a');
    const early = readAll(answer);
    await answer.push('b');
    const late = readAll(answer);
    await answer.push('c');
    answer.complete();
    expect(await Promise.all([early, late])).toEqual(['abc', 'abc']);
  });

  it('makes the run wait for the fastest reader', async () => {
    const answer = new ResponseBuffer();
    const reader = answer.read(new AbortController().signal);
    const large = 'x'.repeat(200_000);
    await answer.push(large);
    await reader.next();
    let isPushed = false;
    const push = answer.push(large).then(() => (isPushed = true));
    await new Promise(resolve => setImmediate(resolve));
    expect(isPushed).toBe(false);
    await reader.next();
    await push;
    await reader.return();
  });

  it('notifies its listeners when the last reader has left', async () => {
    const answer = new ResponseBuffer();
    let isAbandoned = false;
    answer.onAbandoned(() => (isAbandoned = true));
    const closed = new AbortController();
    const reading = (async () => {
      for await (const piece of answer.read(closed.signal)) {
        expect(piece).toBe('');
      }
    })();
    closed.abort();
    await reading;
    expect(isAbandoned).toBe(true);
  });
});

describe('ResponseStore', () => {
  it('evicts the oldest finished responses beyond its memory bound', () => {
    const store = new ResponseStore(10);
    const running = new ResponseBuffer();
    store.add('running', running);
    for (const key of ['first', 'second', 'third']) {
      store.add(key, completeResponse('12345'));
      store.finish(key);
    }
    expect(store.find('first')).toBeUndefined();
    expect(store.find('second')).toBeDefined();
    expect(store.find('third')).toBeDefined();
    expect(store.find('running')).toBe(running);
  });
});
