/**
 * @fileoverview How an attempt ends where its server closes the connection, with
 * real sockets on loopback.
 */
import {type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';

import {
  maxOverheadBytes,
  MetricsRegistry,
  systemClock,
} from '@dogwoodtrestle/runtime';
import {endlessOverheads, sendEndlessly} from '@dogwoodtrestle/testkit';
import {describe, expect, it} from 'vitest';

import {type Attempt} from '../src/attempt.js';
import {EventCoalescer} from '../src/eventCoalescer.js';
import {
  body,
  framings,
  type Outcome,
  send,
  server,
  startServer,
  statusLine,
} from './support/attempts.js';

/** Time for which a caller takes no more bytes. */
const pauseMilliseconds = 100;

/** Pauses an attempt after each chunk. */
function waitForCaller(_: Buffer, attempt: Attempt): boolean {
  setTimeout(() => attempt.resume(), pauseMilliseconds);
  return false;
}

/** Header lines after which a connection carries no further request. */
const lastResponseLines = ['Connection: close', 'Keep-Alive: timeout=1'];

describe('a complete response', () => {
  // Guards against taking a whole response for one that was cut by a reset, as the
  // router closed the connection of the response before it (issue 40).
  it.each(
    lastResponseLines.flatMap(line =>
      Object.keys(framings).map(framing => [line, framing] as const),
    ),
  )('after one with %s is complete, marked %s', async (line, framing) => {
    const {head, content} = framings[framing]!;
    const target = await startServer(socket => {
      socket.write(`${statusLine}${line}\r\n${head}\r\n${content}`);
    });
    let next: Promise<Outcome> | undefined;
    const onEnd = () => {
      // The connection is destroyed, and its close not yet announced.
      setImmediate(() => {
        next = send(target);
      });
    };
    expect(await send(target, {onEnd})).toEqual({body});
    await nextTurn();
    expect(await next).toEqual({body});
  });
});

describe('a connection', () => {
  it('is counted while it is open, and its refusal is told', async () => {
    const signals: unknown[] = [];
    const onSignal = (signal: unknown) => signals.push(signal);
    const sockets: Socket[] = [];
    const target = await startServer(socket => {
      sockets.push(socket);
      socket.write(
        `${statusLine}Content-Length: ${body.length}\r\n\r\n${body}`,
      );
    });
    const {connections} = target;
    expect(await send(target)).toEqual({body});
    expect(connections.established).toBe(1);
    server?.close();
    for (const socket of sockets) socket.destroy();
    while (connections.open > 0) await nextTurn();
    expect(connections.established).toBe(0);
    expect(await send(target, {onSignal})).toMatchObject({kind: 'notSent'});
    expect(signals).toEqual([{kind: 'unreachable', isRefused: true}]);
  });

  // Guards against requests to a server that turned cold while they waited for it.
  it('that opens too late for its request carries none', async () => {
    let bytes = 0;
    const signals: unknown[] = [];
    const target = await startServer(socket => {
      bytes += socket.bytesRead;
    });
    const outcome = await send(target, {
      mayBeSent: () => false,
      onSignal: signal => signals.push(signal),
    });
    expect(outcome).toMatchObject({kind: 'notSent'});
    await nextTurn();
    expect({bytes, signals, open: target.connections.open}).toEqual({
      bytes: 0,
      signals: [],
      open: 0,
    });
  });

  it.each(Object.keys(framings))(
    'whose caller was waiting at the end carries the next request, marked %s',
    async framing => {
      const {head, content} = framings[framing]!;
      const sockets = new Set<Socket>();
      const target = await startServer(socket => {
        sockets.add(socket);
        socket.write(`${statusLine}${head}\r\n${content}`);
      });
      for (let count = 0; count < 3; count++) {
        const outcome = await send(target, {onData: waitForCaller});
        expect(outcome).toEqual({body});
      }
      expect(sockets.size).toBe(1);
    },
  );
});

/** Bytes of a response that no buffer holds. */
const largeBytes = 16 * 1024 * 1024;

/** Bytes that a router may take of a response while its caller takes none. */
const maxWaitingBytes = 1024 * 1024;

describe('a large response', () => {
  it('is not read while its caller takes no bytes, and is complete', async () => {
    const target = await startServer(socket => {
      socket.write(`${statusLine}Content-Length: ${largeBytes}\r\n\r\n`);
      socket.end(Buffer.alloc(largeBytes, 'x'));
    });
    let bytes = 0;
    let waiting: number | undefined;
    const outcome = await send(target, {
      onData: (chunk, attempt) => {
        bytes += chunk.length;
        if (waiting !== undefined) return true;
        setTimeout(() => {
          waiting ??= bytes;
          attempt.resume();
        }, pauseMilliseconds);
        return false;
      },
    });
    expect(outcome).toHaveProperty('body');
    expect(bytes).toBe(largeBytes);
    expect(waiting).toBeLessThan(maxWaitingBytes);
  });
});

/**
 * Bytes that a server can send before its connection is closed: those that are
 * allowed, and what the system's buffers take.
 */
const maxEndlessBytes = 16 * 1024 * 1024;

describe('a response without end', () => {
  // Guards against a server that takes memory or processor time of all callers with
  // bytes that are no body, which the parser neither limits nor reports (issue 60).
  it.each(Object.entries(endlessOverheads))(
    'is given up: %s',
    async (_, bytes) => {
      let sentBytes = () => 0;
      const target = await startServer(socket => {
        sentBytes = () => socket.bytesWritten - socket.writableLength;
        sendEndlessly(socket, bytes);
      });
      expect(await send(target)).toMatchObject({kind: 'unknown'});
      expect(sentBytes()).toBeLessThan(maxEndlessBytes);
      expect(target.connections.open).toBe(0);
    },
  );

  it('is not one of many on a connection, each with a long head', async () => {
    const {head, content} = framings['by its length']!;
    const sockets = new Set<Socket>();
    const target = await startServer(socket => {
      sockets.add(socket);
      const long = `X: ${'x'.repeat(16_000)}\r\n`;
      socket.write(`${statusLine}${long}${head}\r\n${content}`);
    });
    const count = Math.ceil((2 * maxOverheadBytes) / 16_000);
    for (let sent = 0; sent < count; sent++) {
      expect(await send(target)).toEqual({body});
    }
    expect(sockets.size).toBe(1);
  });

  it('is told from one that a server broke off', async () => {
    const target = await startServer(socket => {
      sendEndlessly(socket, endlessOverheads['a chunk extension']!);
    });
    const outcome = await send(target);
    expect(outcome).toMatchObject({kind: 'unknown', endless: 'overhead'});
    expect(outcome).not.toHaveProperty('isClosed');
  });
});

describe('a response to a request that the server has not taken', () => {
  it('is complete, and its connection with the unsent bytes is closed', async () => {
    const {head, content} = framings['by its length']!;
    const target = await startServer(socket => {
      socket.pause();
      socket.write(`${statusLine}${head}\r\n${content}`);
    });
    const sent = Buffer.alloc(largeBytes);
    expect(await send(target, {sent})).toEqual({body});
    expect(target.connections.open).toBe(0);
  });
});

/** Responses to a caller that takes no bytes while the server ends them. */
const waitingCases = ['', ...lastResponseLines].flatMap(line =>
  [...Object.keys(framings), 'by the close'].map(
    framing => [framing, line] as const,
  ),
);

/** Returns the head of a response; without a framing only its close ends it. */
function createHead(framing: string, line: string): string {
  const ending = line === '' ? '' : `${line}\r\n`;
  return `${statusLine}${ending}${framings[framing]?.head ?? ''}\r\n`;
}

describe('a response that waits for its caller while its server', () => {
  // Guards against cutting a whole response, and against an exit of the router, as
  // the close finds the caller's buffer full (issue 40).
  it.each(waitingCases)(
    'closes is complete, marked %s, with "%s"',
    async (framing, line) => {
      const content = framings[framing]?.content ?? body;
      const target = await startServer(socket => {
        socket.end(createHead(framing, line) + content);
      });
      expect(await send(target, {onData: waitForCaller})).toEqual({body});
    },
  );

  // Guards against an exit of the router, as the close of a response that is cut
  // finds the caller's buffer full (issue 40).
  it.each(waitingCases.filter(([framing]) => framing !== 'by the close'))(
    'cuts it is not complete, marked %s, with "%s"',
    async (framing, line) => {
      const content = framings[framing]!.content.slice(0, -2);
      const target = await startServer(socket => {
        socket.end(createHead(framing, line) + content);
      });
      const outcome = await send(target, {onData: waitForCaller});
      expect(outcome).toMatchObject({kind: 'unknown', isClosed: true});
    },
  );

  // Guards against an exit of the router, as a reset finds the caller's buffer full
  // (issue 40).
  it.each(waitingCases)(
    'resets it is not complete, marked %s, with "%s"',
    async (framing, line) => {
      const content = framings[framing]?.content.slice(0, -2) ?? body;
      const target = await startServer(socket => {
        socket.write(createHead(framing, line) + content);
        setTimeout(() => socket.resetAndDestroy(), pauseMilliseconds / 2);
      });
      const outcome = await send(target, {onData: waitForCaller});
      expect(outcome).toMatchObject({kind: 'unknown', isClosed: true});
    },
  );
});

/** Interval at which the server of a busy router sends events. */
const eventMilliseconds = 5;

const eventCount = 40;

/** Sends events one by one, in chunks of their own, then ends the body. */
function streamEvents(socket: Socket): void {
  socket.write(`${statusLine}Transfer-Encoding: chunked\r\n\r\n`);
  let sent = 0;
  const timer = setInterval(() => {
    if (sent === eventCount) {
      clearInterval(timer);
      socket.write('0\r\n\r\n');
      return;
    }
    const event = `id: ${++sent}\ndata: e\n\n`;
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
  }, eventMilliseconds);
}

describe('the events of a stream at a busy router', () => {
  it('are read together, all of them and in order', async () => {
    const target = await startServer(streamEvents);
    const coalescer = new EventCoalescer({
      clock: systemClock,
      metrics: new MetricsRegistry(),
      maxDelayMilliseconds: 50,
      utilization: () => 1,
    });
    let reads = 0;
    const outcome = await send(target, {
      onData: (_, attempt) => {
        reads++;
        attempt.coalesce(coalescer);
        return true;
      },
    });
    const ids = [
      ...('body' in outcome ? outcome.body : '').matchAll(/id: (\d+)/g),
    ];
    expect(ids.map(([, id]) => Number(id))).toEqual(
      Array.from({length: eventCount}, (_, index) => index + 1),
    );
    expect(reads).toBeLessThan(eventCount / 2);
  });

  it('wait for a caller that reads slowly as well', async () => {
    const target = await startServer(streamEvents);
    const resumes: Array<() => void> = [];
    const outcome = await send(target, {
      onData: (_, attempt) => {
        attempt.coalesce({
          defer: resume => {
            resumes.push(resume);
            return true;
          },
        });
        // The common time comes first, and must not let the attempt read on.
        setTimeout(() => resumes.shift()?.(), eventMilliseconds);
        setTimeout(() => attempt.resume(), 2 * eventMilliseconds);
        return false;
      },
    });
    expect(outcome).toMatchObject({
      body: expect.stringContaining(`id: ${eventCount}\n`),
    });
  });
});
