/**
 * @fileoverview Tells the connections of an HTTP server on which a request runs. A
 * refusal of other bytes of such a connection would be taken for its answer.
 */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {type Duplex} from 'node:stream';

/** A request whose response is not written yet. */
interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
}

/**
 * Follows the requests of a server.
 *
 * @returns Whether a request of a connection was read to its end, or is being
 *     answered.
 */
export function followRunningRequests(
  server: Server,
): (connection: Duplex) => boolean {
  const exchanges = new WeakMap<Duplex, Set<Exchange>>();
  server.on('request', (request, response) => {
    const {socket} = request;
    const open = exchanges.get(socket) ?? new Set();
    const exchange = {request, response};
    exchanges.set(socket, open.add(exchange));
    response.once('close', () => open.delete(exchange));
  });
  return connection => [...(exchanges.get(connection) ?? [])].some(isRunning);
}

function isRunning({request, response}: Exchange): boolean {
  return request.complete || response.headersSent;
}
