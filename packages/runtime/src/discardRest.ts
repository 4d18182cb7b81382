/**
 * @fileoverview A lingering close: reads and drops the rest of a refused request
 * before its connection is closed.
 *
 * A connection that is closed with unread bytes is reset, and its client may lose
 * the answer that it has not read. Bytes are dropped as they come, within a limit;
 * beyond it the connection stands still, as its client then reads. What the system
 * has received for it is part of the process's memory on some machines, so only a
 * number of connections may stand still at once; the next one is closed.
 */
import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';

import {type Clock, systemClock} from './clock.js';

/** Limits of what is read after a refusal. */
export interface DiscardOptions {
  /** Time from the refusal to the close, however much is left. */
  milliseconds: number;
  /** Bytes that are read, pieces counted as `minPieceBytes` at least. */
  maxBytes: number;
  /** Least cost of a piece, as tiny ones cost processor time. */
  minPieceBytes: number;
  /** Connections of the process that stand still at once. */
  maxStanding: number;
  clock: Clock;
}

/** Default limits. */
export const defaultDiscardOptions: DiscardOptions = {
  milliseconds: 1_000,
  maxBytes: 1024 * 1024,
  minPieceBytes: 1024,
  maxStanding: 64,
  clock: systemClock,
};

/** Connections of this process that stand still. */
const standing = new Set<Socket>();

/**
 * Reads and drops the rest of a refused request whose answer was written. Calls back
 * once the connection may be closed: at the request's end, or when the time is over.
 */
export function discardRest(
  message: IncomingMessage,
  onEnd: () => void,
  options: Partial<DiscardOptions> = {},
): void {
  if (message.complete || message.destroyed) return onEnd();
  const {milliseconds, maxBytes, minPieceBytes, maxStanding, clock} = {
    ...defaultDiscardOptions,
    ...options,
  };
  const {socket} = message;
  let bytes = 0;
  let isOver = false;
  const finish = () => {
    if (isOver) return;
    isOver = true;
    cancelTimer();
    standing.delete(socket);
    message.off('data', discard);
    onEnd();
  };
  const cancelTimer = clock.setTimer(milliseconds, finish);
  const discard = (piece: Buffer) => {
    const before = bytes;
    bytes += Math.max(piece.length, minPieceBytes);
    if (bytes <= maxBytes || before > maxBytes) return;
    // The parser can't be detached while it runs.
    setImmediate(() => {
      if (isOver) return;
      if (standing.size >= maxStanding) return finish();
      standing.add(socket);
      standStill(socket);
    });
  };
  message.on('data', discard);
  message.once('end', finish);
  message.once('close', finish);
  message.resume();
}

/**
 * Stops reading a server's connection for good. Paused as a message it would collect
 * the pieces of one more read, each of them an object.
 */
function standStill(socket: Socket): void {
  socket.removeAllListeners('data');
  // Node.js then gives the connection's bytes to this listener, not to its parser.
  socket.on('data', () => undefined);
  socket.pause();
}
