import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {EventScanner} from '../src/eventScanner.js';

function createEvent(id: number): string {
  return `id: ${id}\ndata: text ${id}\n\n`;
}

function scan(scanner: EventScanner, chunks: string[]): string {
  return chunks
    .map(chunk => scanner.push(Buffer.from(chunk)).data.toString())
    .join('');
}

describe('EventScanner', () => {
  it('emits complete events, however the bytes are split', () => {
    const text = [1, 2, 3, 4].map(createEvent).join('');
    fc.assert(
      fc.property(fc.array(fc.nat(text.length)), cuts => {
        const places = [0, ...cuts.sort((a, b) => a - b), text.length];
        const chunks = places
          .slice(1)
          .map((end, index) => text.slice(places[index], end));
        const scanner = new EventScanner();
        expect(scan(scanner, chunks)).toBe(text);
        expect(scanner.lastEventId).toBe('4');
        expect(scanner.isInsideEvent).toBe(false);
      }),
    );
  });

  it('buffers an incomplete event', () => {
    const scanner = new EventScanner();
    expect(scan(scanner, [`${createEvent(1)}id: 2\nda`])).toBe(createEvent(1));
    expect(scanner.lastEventId).toBe('1');
    expect(scanner.isInsideEvent).toBe(true);
  });

  it('drops events that the caller has received', () => {
    const scanner = new EventScanner(2);
    const text = [1, 2, 3].map(createEvent).join('');
    expect(scan(scanner, [text])).toBe(createEvent(3));
  });

  it('accepts lines that end with a carriage return', () => {
    const scanner = new EventScanner();
    const event = 'id: 1\r\ndata: x\r\n\r\n';
    expect(scan(scanner, [event])).toBe(event);
    expect(scanner.lastEventId).toBe('1');
  });
});
