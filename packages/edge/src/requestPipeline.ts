/**
 * @fileoverview Serializes the pipelined requests of each connection.
 *
 * A response may close its connection. A pipelined request behind it would be
 * executed and get no response, so each request waits for the previous one.
 */
import {type Socket} from 'node:net';

import {type CallerExchange} from './callerExchange.js';

/** Pipelines of all connections. */
export class RequestPipeline {
  private readonly newest = new WeakMap<Socket, CallerExchange>();

  /**
   * Waits for the responses to all earlier requests of a connection.
   *
   * @returns False if the connection was closed with one of them.
   */
  async waitForTurn(
    socket: Socket,
    exchange: CallerExchange,
  ): Promise<boolean> {
    const before = this.newest.get(socket);
    this.newest.set(socket, exchange);
    if (before === undefined) return true;
    await before.closed;
    return !before.endsConnection && !socket.destroyed;
  }
}
