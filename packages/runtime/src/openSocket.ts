/**
 * @fileoverview Opens a TCP connection within a time limit.
 *
 * The limit has a timer of its own: undici rounds its own one up to a second,
 * and a call to an instance without power would wait that long.
 */
import {connect, type Socket} from 'node:net';

/** Interval of TCP probes that find connections gone silent. */
const keepAliveProbeMilliseconds = 2_000;

/** What undici's connectors call back with. */
export type ConnectCallback = (
  ...outcome: [error: null, socket: Socket] | [error: Error, socket: null]
) => void;

/** Bounds and origin of a connection. */
export interface SocketOptions {
  timeoutMilliseconds: number;
  /** Address that it comes from; chosen by the system where it is missing. */
  localAddress?: string;
}

/** Connects to `host:port`; calls back once. */
export function openSocket(
  address: string,
  {timeoutMilliseconds, localAddress}: SocketOptions,
  callback: ConnectCallback,
): Socket {
  const [host = '', port = '0'] = address.split(':');
  const socket = connect({
    host,
    port: Number(port),
    localAddress,
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: keepAliveProbeMilliseconds,
  });
  const timer = setTimeout(() => {
    socket.destroy(new Error('connecting took too long'));
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
  return socket;
}
