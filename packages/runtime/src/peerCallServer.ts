/**
 * @fileoverview Server of calls from other processes of the fleet: JSON over
 * HTTP.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

import {type BodyFailure, readBody} from './bodyReader.js';
import {ByteAccount} from './byteAccount.js';
import {callIdHeader} from './callId.js';
import {CallContext, type ReplyRecord} from './callContext.js';
import {systemClock} from './clock.js';
import {ConnectionLimit, logClosedConnections} from './connectionLimit.js';
import {discardRest} from './discardRest.js';
import {type LimitListener, limitsOfFailures} from './limitRecorder.js';
import {type Logger} from './logger.js';
import {
  compressedEncoding,
  decodeMessage,
  encodeMessage,
  type EncodingOptions,
  TooManyValues,
} from './messageEncoding.js';
import {divideParsing} from './parsingTurns.js';
import {maxMessageBytes} from './readMessage.js';
import {limitRequestsAhead} from './requestsAhead.js';

/** Handles one method; a rejection becomes a reply with status 500. */
export type CallHandler = (
  message: never,
  call: CallContext,
) => Promise<unknown>;

/** Handlers by method name. */
export type CallHandlers = Readonly<Record<string, CallHandler>>;

/**
 * How a caller's connection ended: `closed` in an orderly way, by the caller or
 * by the system as its process ended, or `broken`, for example by a reset.
 */
export type ConnectionEnd = 'closed' | 'broken';

/** A reverse proxy in front of the peer address. */
export interface PeerProxy {
  /** Port on which the process listens behind the proxy. */
  listenPort: number;
  /** Source address of the process's own calls. */
  localAddress: string;
}

/** Options of the server. */
export interface PeerCallServerOptions {
  host: string;
  port: number;
  handlers: CallHandlers;
  logger: Logger;
  /** Most bytes of a call. */
  maxCallBytes?: number;
  /** Most values in the JSON of a call; not limited by default. */
  maxCallValues?: number;
  /** Connections that are open at once; not limited by default. */
  maxConnections?: number;
  /** Methods whose callers keep their connections if too many are open. */
  preferredMethods?: ReadonlySet<string>;
  /** Account of the bytes of all calls that are being read. */
  account?: ByteAccount;
  /** Called when a client meets a limit. */
  onLimit?: LimitListener;
  /** Called when the caller's connection ends before it has a reply. */
  onAbandoned?: (method: string, message: unknown, end: ConnectionEnd) => void;
  /** Called when a call of a known method has ended. */
  onReplied?: (record: ReplyRecord) => void;
}

/** Connections of other processes. */
export interface ConnectionCounts {
  open: number;
  accepted: number;
}

/** Time for a call to arrive, however slow its link is. */
const callMilliseconds = 30_000;

/** Connections kept for callers of preferred methods: six of each of eight. */
const preferredConnections = 48;

/** Status of the reply to a call that was not read. */
const failureStatuses: Readonly<Record<Exclude<BodyFailure, 'gone'>, number>> =
  {tooLarge: 413, late: 408, crowded: 503};

/** Serves calls from other processes. */
export class PeerCallServer {
  private readonly server: Server;
  private readonly counts: ConnectionCounts = {open: 0, accepted: 0};
  private readonly account: ByteAccount;

  constructor(private readonly options: PeerCallServerOptions) {
    const {
      maxConnections = Infinity,
      account,
      preferredMethods,
      onLimit,
    } = options;
    this.account = account ?? new ByteAccount();
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
    this.server.keepAliveTimeout = 60_000;
    const {host, port, logger} = options;
    const logClosed = logClosedConnections(
      {logger, clock: systemClock},
      {address: `${host}:${port}`, maxConnections},
    );
    new ConnectionLimit({
      maxConnections,
      reservedConnections:
        preferredMethods === undefined ? 0 : preferredConnections,
      isPreferred: request => preferredMethods?.has(methodOf(request)) === true,
      onClosed: () => {
        logClosed();
        onLimit?.('connections');
      },
    }).watch(this.server);
    divideParsing(this.server);
    limitRequestsAhead(this.server, () => onLimit?.('requestsAhead'));
    this.server.on('connection', socket => {
      socket.setNoDelay(true);
      this.counts.accepted++;
      this.counts.open++;
      socket.once('close', () => this.counts.open--);
    });
  }

  /** Connections that are open now, and those accepted so far. */
  get connections(): ConnectionCounts {
    return {...this.counts};
  }

  /** Starts to listen; rejects if the port can't be bound. */
  async listen(): Promise<void> {
    const {host, port} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, 1_024, resolve);
    });
  }

  /** Closes all connections and stops listening. */
  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const method = methodOf(request);
    // Missing from the request once its stream is destroyed.
    const {socket} = request;
    // It was read with the request for which its connection was closed.
    if (socket.destroyed) return;
    try {
      const {handlers, logger, onAbandoned} = this.options;
      const handler = Object.hasOwn(handlers, method)
        ? handlers[method]
        : undefined;
      if (handler === undefined) {
        refuse(request, response, 404, `unknown method ${method}`);
        return;
      }
      const {maxCallBytes = maxMessageBytes, maxCallValues} = this.options;
      const {headers} = request;
      const read = await readBody(request, {
        maxBytes: maxCallBytes,
        account: this.account,
        milliseconds: callMilliseconds,
      });
      if (typeof read === 'string') {
        if (read === 'gone') return;
        logger.warn({call: method, failure: read}, 'call was not read');
        this.options.onLimit?.(limitsOfFailures[read]);
        refuse(request, response, failureStatuses[read], read);
        return;
      }
      read.held.release();
      const message = decodeCall(
        read.bytes,
        headers['content-encoding'],
        maxCallBytes,
        maxCallValues,
      );
      if (message instanceof TooManyValues) {
        logger.warn({call: method, failure: 'values'}, 'call was not read');
        this.options.onLimit?.('bodyValues');
        refuse(request, response, 413, message.message);
        return;
      }
      if (message instanceof Error) {
        logger.debug({err: message, call: method}, 'call was not decoded');
        refuse(request, response, 400, String(message));
        return;
      }
      const context = new CallContext();
      const receivedAt = systemClock.now();
      let bytes = 0;
      response.once('close', () => {
        context.end();
        if (response.writableEnded) return;
        const isClosed = socket.readableEnded;
        onAbandoned?.(method, message, isClosed ? 'closed' : 'broken');
      });
      context.onEnd(() => {
        const milliseconds = systemClock.now() - receivedAt;
        const isSent = response.writableFinished;
        this.options.onReplied?.({method, bytes, milliseconds, isSent});
      });
      response.once('finish', () => context.end());
      const result = await handler(message, context);
      bytes = reply(response, 200, result, {
        isCompressible: headers['accept-encoding'] === compressedEncoding,
        callId: callIdOf(request),
      });
    } catch (error) {
      this.options.logger.debug({err: error, call: method}, 'call failed');
      const callId = callIdOf(request);
      reply(response, 500, {error: String(error)}, {...uncompressed, callId});
    }
  }
}

/** Options of a reply. */
interface ReplyOptions extends EncodingOptions {
  /** Id of the call; missing from those of earlier versions. */
  callId?: string;
}

const uncompressed: EncodingOptions = {isCompressible: false};

function callIdOf({headers}: IncomingMessage): string | undefined {
  return headers[callIdHeader]?.toString();
}

function methodOf({url = ''}: IncomingMessage): string {
  return url.slice(1);
}

/** Decodes a call, or returns why it can't be decoded. */
function decodeCall(...body: Parameters<typeof decodeMessage>): never | Error {
  try {
    return decodeMessage(...body) as never;
  } catch (error) {
    return error as Error;
  }
}

/**
 * Answers a call that was not read or can't be handled, and closes its connection.
 * V8 keeps the whole text of each that isn't JSON until its next full collection, so
 * a client may have one per connection.
 */
function refuse(
  request: IncomingMessage,
  response: ServerResponse,
  status: number,
  error: string,
): void {
  if (response.destroyed) return;
  const {body} = encodeMessage({error}, uncompressed);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
    connection: 'close',
  });
  response.write(body);
  discardRest(request, () => response.end());
}

/** Sends a reply, and returns the length of its body. */
function reply(
  response: ServerResponse,
  status: number,
  message: unknown,
  {callId, ...options}: ReplyOptions,
): number {
  if (response.destroyed) return 0;
  const {body, isCompressed} = encodeMessage(message, options);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
    'accept-encoding': compressedEncoding,
    ...(callId !== undefined && {[callIdHeader]: callId}),
    ...(isCompressed && {'content-encoding': compressedEncoding}),
  });
  response.end(body);
  return body.length;
}
