/**
 * @fileoverview A socket to a backend server, or to another instance, that doesn't
 * take a reset for the end of a response, and closes where a response has no end.
 *
 * A response without a length ends with its connection. undici takes a reset for
 * such an end too, and a reset may itself look like an orderly end.
 */
import {
  isOrderlyEnd,
  maxOverheadBytes,
  PausableSocket,
  ResponseOverhead,
} from '@dogwoodtrestle/runtime';
import {buildConnector, errors} from 'undici';

/** Port of addresses that name none. */
const defaultPort = 80;

/** Idle time after which TCP keep-alive probes detect dead connections. */
const keepAliveProbeMilliseconds = 60_000;

/** Bytes of the longest body of a response, a stream of events. */
const maximumBodyBytes = 67108864;

/** A socket whose orderly end is one of the server. */
export class BackendSocket extends PausableSocket {
  override emit(event: string | symbol, ...values: unknown[]): boolean {
    if (event === 'end' && !isOrderlyEnd(this)) {
      this.destroy(new Error('reset, or closed before the request was sent'));
      return true;
    }
    return super.emit(event, ...values);
  }

  override _destroy(
    error: NodeJS.ErrnoException | null,
    callback: (error?: Error | null) => void,
  ): void {
    const isReset = error?.code === 'ECONNRESET';
    // undici knows the end of a response by the code.
    const cause = isReset ? new Error('reset', {cause: error}) : error;
    super._destroy(cause, callback);
  }
}

/** Limits of a connection and of the responses on it. */
export interface ConnectorOptions {
  timeoutMilliseconds: number;
  /** Bytes of the longest body. */
  maximumBodyBytes: number;
}

const defaultConnectorOptions: ConnectorOptions = {
  timeoutMilliseconds: 2000,
  maximumBodyBytes,
};

/** Returns undici's connector, with these sockets for addresses without TLS. */
export function createConnector(
  changes: Partial<ConnectorOptions> = {},
): buildConnector.connector {
  const limits = {...defaultConnectorOptions, ...changes};
  const connectWithTls = buildConnector({timeout: limits.timeoutMilliseconds});
  return (options, callback) => {
    if (options.protocol === 'https:') connectWithTls(options, callback);
    else connect(options, limits, callback);
  };
}

function connect(
  {hostname, port, localAddress}: buildConnector.Options,
  limits: ConnectorOptions,
  callback: buildConnector.Callback,
): void {
  const socket = new BackendSocket();
  // What is body is not told to the socket, so all bytes count.
  const maximumBytes = 2 * limits.maximumBodyBytes + maxOverheadBytes;
  socket.limitOverhead(new ResponseOverhead(maximumBytes));
  const timer = setTimeout(() => {
    socket.destroy(new errors.ConnectTimeoutError());
  }, limits.timeoutMilliseconds);
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
  socket.connect({
    host: hostname,
    port: Number(port === '' ? defaultPort : port),
    localAddress: localAddress ?? undefined,
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: keepAliveProbeMilliseconds,
  });
}
