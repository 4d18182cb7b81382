/**
 * @fileoverview Servers that send a response once more, with real sockets on
 * loopback.
 */
import {type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {systemClock} from '@dogwoodtrestle/runtime';
import {describe, expect, it} from 'vitest';

import {type Attempt} from '../src/attempt.js';
import {type PooledServer} from '../src/serverPool.js';
import {type UnsolicitedPlace} from '../src/unsolicitedBytes.js';
import {
  body,
  foreignHeader,
  framings,
  type Outcome,
  recordEnd,
  refusalHeader,
  send,
  server,
  startServer,
  statusLine,
  unsolicited,
} from './support/attempts.js';

const complete = `${statusLine}${framings['by its length']!.head}\r\n${body}`;
const foreign = complete.replace('\r\n', `\r\n${foreignHeader}: 1\r\n`);

/** Time for which a connection is idle between two requests. */
const idleMilliseconds = 20;

/** What a server does after its first response, and at the next request. */
const repeaters: Record<
  string,
  {
    /** What it sends with the first response. */
    extra?: string;
    whileIdle?: (socket: Socket) => void;
    next?: string;
    places: UnsolicitedPlace[];
  }
> = {
  'a second response with the first': {extra: foreign, places: ['idle']},
  'a second response on an idle connection': {
    whileIdle: socket => socket.write(foreign),
    places: ['idle'],
  },
  'a part of one on an idle connection': {
    whileIdle: socket => socket.write(foreign.slice(0, 20)),
    places: ['idle'],
  },
  'no HTTP on an idle connection': {
    whileIdle: socket => socket.write('body without a head'),
    places: ['idle'],
  },
  'a second response in place of the next': {
    next: foreign,
    places: ['response'],
  },
  'a second response before the next': {
    next: foreign + complete,
    places: ['response'],
  },
  'the rest of one in place of the next': {
    next: `rest${complete}`,
    places: ['response'],
  },
  'no more than its responses': {places: []},
  'a close of an idle connection': {
    whileIdle: socket => socket.end(),
    places: [],
  },
  'a reset of an idle connection': {
    whileIdle: socket => socket.resetAndDestroy(),
    places: [],
  },
};

/** Starts a server that does so on a number of connections. */
function startRepeater(
  name: string,
  maxConnections: number,
): Promise<PooledServer> {
  const {extra = '', whileIdle, next = complete} = repeaters[name]!;
  const repeating = new Set<Socket>();
  return startServer(socket => {
    if (repeating.has(socket)) {
      socket.write(next);
      return;
    }
    if (repeating.size === maxConnections) {
      socket.write(complete);
      return;
    }
    repeating.add(socket);
    socket.write(complete + extra);
    setTimeout(() => whileIdle?.(socket), idleMilliseconds / 4);
  });
}

/** Sends attempts one after another, with pauses; returns how they ended. */
async function sendAll(
  target: PooledServer,
  count: number,
): Promise<Outcome[]> {
  const outcomes: Outcome[] = [];
  for (let turn = 0; turn < count; turn++) {
    outcomes.push(await send(target));
    await sleep(idleMilliseconds);
  }
  return outcomes;
}

describe('a server that sends bytes nobody waited for', () => {
  // Guards against second responses of a server that nobody can see (issue 60).
  it.each(Object.keys(repeaters))('is recorded: %s', async name => {
    const target = await startRepeater(name, 1);
    const outcomes = await sendAll(target, 3);
    expect(unsolicited).toEqual(repeaters[name]!.places);
    const failures = outcomes.filter(outcome => !('body' in outcome));
    const {length} = unsolicited.filter(place => place === 'response');
    expect(failures).toHaveLength(length);
  });

  // Guards against a server that is taken for one that may have started again, as a
  // second response closed its last connection (issue 60).
  it.each(Object.keys(repeaters))('has not ended: %s', async name => {
    const target = await startRepeater(name, 1);
    await sendAll(target, 2);
    const hasEnded = /^a (close|reset) /.test(name);
    expect(recordEnd).toHaveBeenCalledTimes(hasEnded ? 1 : 0);
  });

  // Guards against failing half of the requests to a server that sends each response
  // twice, as its connections are used again (issue 60).
  it.each(Object.keys(repeaters))('does so once: %s', async name => {
    const {places} = repeaters[name]!;
    const target = await startRepeater(name, Infinity);
    const outcomes = await sendAll(target, 6);
    expect(unsolicited).toEqual(places);
    const failures = outcomes.filter(outcome => !('body' in outcome));
    expect(failures).toHaveLength(places.includes('response') ? 1 : 0);
  });
});

describe('a server that is at the limit of its connections', () => {
  // Guards against connections that a server resets, as it hasn't seen yet that the
  // one before was closed (issue 60).
  it('gets a connection only once it has closed the one before', async () => {
    const target = await startRepeater('no more than its responses', 1);
    let excess = 0;
    server!.maxConnections = 1;
    server!.on('drop', () => excess++);
    target.connections.pauseReuse();
    for (let turn = 0; turn < 60; turn++) {
      while (target.connections.busy > 0) await sleep(1);
      await send(target);
    }
    expect(excess).toBe(0);
  });
});

const refusal =
  'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n' + `${refusalHeader}: 1\r\n`;

/** What comes after a cancellation, and whether the request may have run then. */
const lateBytes: Record<string, {text: string; hasRun: boolean}> = {
  'a refusal': {text: `${refusal}\r\n`, hasRun: false},
  'a refusal of an earlier request': {
    text: `${refusal}${foreignHeader}: 1\r\n\r\n`,
    hasRun: true,
  },
  'a close': {text: '', hasRun: false},
  'a part of a response': {text: complete.slice(0, 20), hasRun: true},
  'an interim response': {text: 'HTTP/1.1 100 Continue\r\n\r\n', hasRun: true},
};

describe('what a server sends before it closes, after its request was cancelled', () => {
  // Guards against running a request twice, as the refusal of an earlier one, or no
  // more than a part of a response, is taken for a proof that it hasn't run (issue 60).
  it.each(Object.keys(lateBytes))(
    'tells whether it may have run: %s',
    async name => {
      const {text, hasRun} = lateBytes[name]!;
      let requests = 0;
      const answer = (socket: Socket) => {
        if (++requests === 1) socket.write(complete);
        else socket.on('end', () => socket.end(text));
      };
      const target = await startServer(answer, {allowHalfOpen: true});
      expect(await send(target)).toEqual({body});
      await sleep(idleMilliseconds);
      const known = await new Promise(resolve => {
        const timeout = {clock: systemClock, milliseconds: 1_000};
        const onBegin = (attempt: Attempt) =>
          setTimeout(
            () => attempt.cancel(timeout, resolve),
            idleMilliseconds / 2,
          );
        void send(target, {onBegin});
      });
      expect(known).toBe(hasRun);
    },
  );
});
