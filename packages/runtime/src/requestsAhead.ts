/**
 * @fileoverview Closes connections on which too many requests are sent ahead of the
 * answers to earlier ones, as each occupies memory until its turn.
 */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';

/** Requests of one connection that may be open at once. */
export const maxOpenRequests = 16;

/**
 * Limits the open requests of each connection of a server. Requests that are read
 * with the last one come after the close; their `socket` is destroyed.
 *
 * @param onClosed Called for each connection that is closed.
 */
export function limitRequestsAhead(
  server: Server,
  onClosed: () => void = () => undefined,
): void {
  const open = new WeakMap<Socket, number>();
  const follow = ({socket}: IncomingMessage, response: ServerResponse) => {
    if (socket.destroyed) return;
    const count = (open.get(socket) ?? 0) + 1;
    open.set(socket, count);
    response.once('close', () => {
      open.set(socket, (open.get(socket) ?? 1) - 1);
    });
    if (count <= maxOpenRequests) return;
    onClosed();
    socket.destroy();
  };
  server.prependListener('request', follow);
}
