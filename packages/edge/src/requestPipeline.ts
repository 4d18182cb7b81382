/**
 * @fileoverview Serializes the pipelined requests of each connection.
 *
 * A response may close its connection. A pipelined request behind it would be
 * executed and get no response, so each request waits for the previous one. Its
 * body is not read before: the connection stands still meanwhile.
 *
 * Load pattern: clients that send requests ahead without end and read no answer.
 * Those that wait on one connection are bounded, as each occupies memory.
 */
import {type Socket} from 'node:net';

import {type CallerExchange} from './callerExchange.js';

/** Requests of one connection that may wait for the one in front. */
export const maxWaitingRequests = 16;

/** Requests of one connection. */
interface ConnectionRequests {
  newest: CallerExchange;
  waiting: number;
}

/** Pipelines of all connections. */
export class RequestPipeline {
  private readonly connections = new WeakMap<Socket, ConnectionRequests>();

  /** Whether another request of a connection may wait. */
  hasRoom(socket: Socket): boolean {
    const requests = this.connections.get(socket);
    return requests === undefined || requests.waiting < maxWaitingRequests;
  }

  /** Whether a request has to wait for earlier ones of its connection. */
  mustWait(socket: Socket): boolean {
    return this.connections.get(socket)?.newest.isClosed === false;
  }

  /**
   * Waits for the responses to all earlier requests of a connection.
   *
   * @returns False if the connection was closed with one of them.
   */
  async waitForTurn(
    socket: Socket,
    exchange: CallerExchange,
  ): Promise<boolean> {
    const requests = this.connections.get(socket);
    if (requests === undefined) {
      this.connections.set(socket, {newest: exchange, waiting: 0});
      return true;
    }
    const before = requests.newest;
    requests.newest = exchange;
    requests.waiting++;
    await before.closed;
    requests.waiting--;
    return !before.endsConnection && !socket.destroyed;
  }
}
