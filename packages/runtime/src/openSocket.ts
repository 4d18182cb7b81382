/**
 * @fileoverview Opens a TCP connection with a connect timeout.
 *
 * The timeout has its own timer, as undici's timers have a resolution of one
 * second: a call to an instance that is switched off would wait that long.
 */
import {PausableSocket} from './pausableSocket.js';

/** Idle time after which TCP keep-alive probes detect dead connections. */
const keepAliveProbeMilliseconds = 2_000;

/** Callback of undici's connectors. */
export type ConnectCallback = (
  ...outcome:
    [error: null, socket: PausableSocket] | [error: Error, socket: null]
) => void;

/** Timeout and local address of a connection. */
export interface SocketOptions {
  timeoutMilliseconds: number;
  /** Source address; chosen by the system if missing. */
  localAddress?: string;
}

/**
 * Connects to `host:port` and calls the callback exactly once, never before it
 * returns. An address that can't be connected to is an error like others.
 */
export function openSocket(
  address: string,
  {timeoutMilliseconds, localAddress}: SocketOptions,
  callback: ConnectCallback,
): PausableSocket {
  const socket = new PausableSocket();
  const timer = setTimeout(() => {
    socket.destroy(new Error('connection attempt timed out'));
  }, timeoutMilliseconds);
  const fail = (error: Error) => {
    clearTimeout(timer);
    callback(error, null);
  };
  socket.once('error', fail);
  socket.once('connect', () => {
    clearTimeout(timer);
    socket.off('error', fail);
    callback(null, socket);
  });
  const [host = '', port = '0'] = address.split(':');
  try {
    socket.connect({
      host,
      port: Number(port),
      localAddress,
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: keepAliveProbeMilliseconds,
    });
  } catch (error) {
    socket.destroy(error as Error); // Thrown for a port out of range.
  }
  return socket;
}
