/**
 * @fileoverview Opens a TCP connection in several attempts, of which the earlier
 * ones go on beside the next one.
 *
 * A new attempt reaches a peer soon after it can be reached again, as the
 * system repeats a lost opening packet only after seconds. An earlier attempt
 * succeeds where the path is slower than the time for one.
 */
import {type Socket} from 'node:net';

import {
  type ConnectCallback,
  openSocket,
  type SocketOptions,
} from './openSocket.js';

/** Options of a connection that is opened in several attempts. */
export interface AttemptedSocketOptions extends SocketOptions {
  /** Number of attempts; `timeoutMilliseconds` is the time between them. */
  attempts: number;
}

/**
 * Connects to `host:port` and calls the callback exactly once: with the first
 * connection, or with an error if the address refuses or all attempts time out.
 */
export function openSocketInAttempts(
  address: string,
  {attempts, timeoutMilliseconds, localAddress}: AttemptedSocketOptions,
  callback: ConnectCallback,
): void {
  const sockets: Socket[] = [];
  let timer: NodeJS.Timeout | undefined;
  let isSettled = false;
  const settle = (...outcome: Parameters<ConnectCallback>) => {
    if (isSettled) return;
    isSettled = true;
    clearTimeout(timer);
    for (const socket of sockets) {
      if (socket !== outcome[1]) socket.destroy();
    }
    callback(...outcome);
  };
  const attempt = () => {
    if (isSettled) return;
    const remaining = attempts - sockets.length;
    const options = {
      timeoutMilliseconds: timeoutMilliseconds * remaining,
      localAddress,
    };
    sockets.push(openSocket(address, options, settle));
    if (remaining > 1) timer = setTimeout(attempt, timeoutMilliseconds);
  };
  attempt();
}
