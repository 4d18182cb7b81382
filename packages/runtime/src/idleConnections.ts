/**
 * @fileoverview Tells which connections of an HTTP server are idle.
 *
 * Node.js takes a connection for idle once its response was ended, and destroys it
 * with what the peer has yet to get of that response.
 */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';

/** Requests of one connection. */
interface ConnectionUse {
  /** Requests whose responses are not written to their end. */
  open: number;
  /** Bytes that were read when the last response was; more are a request. */
  bytesRead: number;
}

/**
 * Lets a server that closes its idle connections, also as it stops, leave those whose
 * peers have yet to get the end of a response.
 */
export function keepUnreadResponses(server: Server): void {
  const uses = new Map<Socket, ConnectionUse>();
  const follow = ({socket}: IncomingMessage, response: ServerResponse) => {
    if (socket.destroyed) return;
    const use = uses.get(socket) ?? {open: 0, bytesRead: 0};
    if (!uses.has(socket)) socket.once('close', () => uses.delete(socket));
    uses.set(socket, use);
    use.open++;
    response.once('close', () => {
      use.open--;
      use.bytesRead = socket.bytesRead;
    });
  };
  server.prependListener('request', follow);
  server.closeIdleConnections = () => {
    for (const [socket, use] of uses) if (isIdle(socket, use)) socket.destroy();
  };
}

function isIdle(socket: Socket, {open, bytesRead}: ConnectionUse): boolean {
  const isRequestBegun =
    socket.bytesRead > bytesRead || socket.readableLength > 0;
  return open === 0 && !isRequestBegun && socket.writableLength === 0;
}
