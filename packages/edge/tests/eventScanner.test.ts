import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {EventScanner} from '../src/eventScanner.js';

function createEvent(id: number): string {
  return `id: ${id}\ndata: text ${id}\n\n`;
}

function scan(scanner: EventScanner, chunks: readonly string[]): string {
  return chunks
    .map(chunk => scanner.push(Buffer.from(chunk, 'latin1')))
    .map(({data}) => data.toString('latin1'))
    .join('');
}

/** Splits a text at positions. */
function split(text: string, cuts: readonly number[]): string[] {
  const places = [0, ...[...cuts].sort((a, b) => a - b), text.length];
  return places
    .slice(1)
    .map((end, index) => text.slice(places[index], end))
    .filter(chunk => chunk !== '');
}

describe('EventScanner', () => {
  it('emits complete events, however the bytes are split', () => {
    const text = [1, 2, 3, 4].map(createEvent).join('');
    fc.assert(
      fc.property(fc.array(fc.nat(text.length)), cuts => {
        const scanner = new EventScanner();
        expect(scan(scanner, split(text, cuts))).toBe(text);
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

/** Events with the id 7, by how they are written. */
const writings: ReadonlyArray<readonly [name: string, event: string]> = [
  ['the id last', 'data: x\nid: 7\n\n'],
  ['text like an id in data before it', 'data: bid: 214, paid: 3\nid: 7\n\n'],
  ['a field whose name ends like an id', 'valid: 3\nid: 7\ndata: x\n\n'],
  ['a field whose name begins like an id', 'id: 7\nidle: 3\ndata: x\n\n'],
  ['a line of data that begins like an id', 'id: 7\ndata: a\ndata:id: 9\n\n'],
  ['a comment before it', ': id: 3\nid: 7\ndata: x\n\n'],
  ['a comment that looks like a field', 'id: 7\n:id: 9\ndata: x\n\n'],
  ['several ids, of which the last counts', 'id: 3\ndata: x\nid: 7\n\n'],
  ['CR LF', 'data: x\r\nid: 7\r\n\r\n'],
  ['CR', 'data: x\rid: 7\r\r'],
  ['several kinds of line ends', 'data: x\rid: 7\r\n\n'],
  ['a byte order mark ahead of it', '\u00ef\u00bb\u00bfid: 7\ndata: x\n\n'],
  ['no space after the colon', 'data: x\nid:7\n\n'],
  ['other fields first', 'weight-versions: 4\nevent: bid\nid: 7\ndata: x\n\n'],
];

// Guards against a resumed stream that repeats events, as the id of the last one
// was not found (issue 46).
describe('an id', () => {
  it.each(writings)('is found with %s', (_, event) => {
    fc.assert(
      fc.property(fc.array(fc.nat(event.length)), cuts => {
        const scanner = new EventScanner();
        expect(scan(scanner, split(event, cuts))).toBe(event);
        expect(scanner.lastEventId).toBe('7');
        expect(scanner.isInsideEvent).toBe(false);
      }),
    );
  });

  it.each(writings)('lets its event be dropped with %s', (_, event) => {
    const scanner = new EventScanner(7);
    const next = 'data: y\nid: 8\n\n';
    const received = scan(scanner, [event, next]);
    expect(received.endsWith(next)).toBe(true);
    expect(received).not.toContain('x');
    expect(scanner.lastEventId).toBe('8');
  });

  it('is that of the event before for one without', () => {
    const scanner = new EventScanner();
    scan(scanner, ['id: 3\ndata: a\n\ndata: b\n\n']);
    expect(scanner.lastEventId).toBe('3');
    const resumed = new EventScanner(3);
    const text = 'id: 2\ndata: a\n\ndata: b\n\nid: 4\ndata: c\n\n';
    expect(scan(resumed, [text])).toBe('id: 4\ndata: c\n\n');
  });

  it.each([
    ['an empty one', 'id\n'],
    ['one with control characters', 'id: a\u0001b\n'],
  ])('ends with %s', (_, line) => {
    const scanner = new EventScanner();
    scan(scanner, [`${createEvent(1)}${line}data: x\n\n`]);
    expect(scanner.lastEventId).toBeUndefined();
  });

  it('is ignored with a null character', () => {
    const scanner = new EventScanner();
    scan(scanner, [`${createEvent(1)}id: 2\u0000\ndata: x\n\n`]);
    expect(scanner.lastEventId).toBe('1');
  });
});

describe('what comes between events', () => {
  it.each([
    ['comments', ': still here\n'],
    ['blank lines', '\n\r\n'],
    ['the line feed of a line end', '\n'],
  ])('is relayed at once, and is no event: %s', (_, text) => {
    const scanner = new EventScanner();
    scan(scanner, ['id: 1\ndata: x\r\r']);
    const batch = scanner.push(Buffer.from(text));
    expect(batch).toEqual({data: Buffer.from(text), count: 0});
    expect(scanner.isInsideEvent).toBe(false);
  });

  it('is endless beyond the size of any event', () => {
    const scanner = new EventScanner();
    const comments = Buffer.from(': x\n'.repeat(64 * 1024));
    for (let round = 0; round < 4; round++) scanner.push(comments);
    expect(scanner.isEndless).toBe(false);
    scanner.push(comments);
    expect(scanner.isEndless).toBe(true);
    scanner.push(Buffer.from(createEvent(1)));
    expect(scanner.isEndless).toBe(false);
  });
});

// Guards against processor time that grows with the square of the number of
// pieces, which delays the streams of other servers (issue 46).
describe('an event in very small pieces', () => {
  it('is scanned once, and is relayed whole', () => {
    const scanner = new EventScanner();
    const text = `data: ${'x'.repeat(500_000)}\nid: 1\n\n`;
    const startedAt = process.cpuUsage();
    const pieces: Buffer[] = [];
    for (let position = 0; position < text.length; position += 4) {
      pieces.push(Buffer.from(text.slice(position, position + 4)));
    }
    let relayed = '';
    for (const piece of pieces) relayed += scanner.push(piece).data.toString();
    expect(relayed).toBe(text);
    const {user, system} = process.cpuUsage(startedAt);
    // 125,000 pieces; copied anew for each, they are 31 GB.
    expect(user + system).toBeLessThan(2_000_000);
  });
});
