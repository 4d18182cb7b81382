/**
 * @fileoverview Tells the orderly end of a connection from its reset.
 *
 * If a reset arrives together with data, libuv reads the data and then reports an
 * end of the stream, as for a connection that the peer closed. A write may take the
 * reset's error too. The kernel still tells them apart: it knows the peer of a
 * connection that only the peer has closed, and no peer of one that was reset.
 */
import {type Socket} from 'node:net';

/**
 * Whether a socket at its `end` event was closed by its peer, rather than reset, and
 * after all that was written to it had been sent.
 *
 * Node keeps an address that was read before, so nothing else may read the
 * `remoteAddress` of such a socket.
 */
export function isOrderlyEnd(socket: Socket): boolean {
  return socket.writableLength === 0 && socket.remoteAddress !== undefined;
}
