/**
 * @fileoverview Writes the response to one request of a caller.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';

import {
  ByteAccount,
  discardRest,
  type HeldBytes,
} from '@dogwoodtrestle/runtime';

import {type RefusalReason, refusals} from './refusal.js';
import {type ResponseHead} from './wireCodec.js';

/**
 * Time without progress after which a finished response is given up: longer than the
 * buffers of a connection take to drain at a slow reader.
 */
const unreadMilliseconds = 60_000;

/** Status of a response that has neither a body nor a length. */
const noContentStatus = 204;

/** Statuses of responses that have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([noContentStatus, 304]);

/** Writes one response; only the first final response is sent. */
export class CallerExchange {
  private isAnswered = false;
  private hasClosed = false;
  /** What the caller has not read yet. */
  private unread?: HeldBytes;
  private isServerUnframed = false;
  private goneListener?: () => void;
  private drainListener?: () => void;
  private isLast = false;
  /** Resolves once the response is written or the connection is closed. */
  readonly closed: Promise<void>;

  /**
   * @param shouldCloseConnection Whether to close the connection afterwards.
   * @param account Account of the bytes that callers have not read.
   */
  constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly shouldCloseConnection: () => boolean,
    private readonly account = new ByteAccount(),
  ) {
    this.closed = new Promise(resolve => response.once('close', resolve));
    response.on('close', () => {
      this.hasClosed = true;
      this.unread?.release();
      if (response.writableFinished) return;
      this.isAnswered = true;
      this.goneListener?.();
    });
  }

  /** Whether the response is written, or the connection is closed. */
  get isClosed(): boolean {
    return this.hasClosed;
  }

  /** Calls back once that is so, at once if it is. */
  onClosed(listener: () => void): void {
    if (this.hasClosed) listener();
    else this.response.once('close', listener);
  }

  /** Whether the head of a response was written. */
  get isStarted(): boolean {
    return this.response.headersSent;
  }

  /** Whether the connection is closed after this response. */
  get endsConnection(): boolean {
    return this.isLast || !this.response.writableFinished;
  }

  /** Whether the caller has closed or half-closed its connection. */
  get hasCallerLeft(): boolean {
    const {socket} = this.request;
    return socket.destroyed || socket.readableEnded;
  }

  /** Sets a listener for a connection closed before the response's end. */
  onDisconnect(listener: () => void): void {
    this.goneListener = listener;
  }

  /** Whether the response was started with the head of one without a length. */
  get isStartedUnframed(): boolean {
    return this.isServerUnframed;
  }

  /** Whether the caller can tell the end of a response without a length. */
  get readsChunks(): boolean {
    return this.response.useChunkedEncodingByDefault;
  }

  /** Whether the caller can tell the end of a response with this head. */
  canDelimit({headers}: ResponseHead): boolean {
    return this.readsChunks || hasLength(headers);
  }

  /**
   * Starts a response whose body follows. Without a length it is sent in chunks,
   * whatever the server did: the kernel closes the connections of a process that
   * ends in an orderly way, and a body that only a close delimits looks complete.
   */
  start(head: ResponseHead, status: number): void {
    this.isServerUnframed = head.isUnframed;
    this.writeHead(status, head.headers);
    this.response.flushHeaders();
  }

  /**
   * Starts a stream of events. Another server may go on with it, so a length that
   * the first one gave it need not be that of all events.
   */
  startStream(head: ResponseHead, status: number): void {
    this.start({...head, headers: withoutLength(head.headers)}, status);
  }

  /**
   * Writes a chunk of the body; after false, wait for `onDrain`. The listener of a
   * later chunk replaces that of an earlier one.
   */
  write(data: Buffer, onDrain: () => void): boolean {
    if (this.response.write(data)) return true;
    this.holdUnread();
    if (this.drainListener === undefined) {
      this.response.once('drain', () => this.handleDrain());
    }
    this.drainListener = onDrain;
    return false;
  }

  private handleDrain(): void {
    const listener = this.drainListener;
    this.drainListener = undefined;
    this.unread?.set(0);
    listener?.();
  }

  /** Adds what the caller has yet to read to the account. */
  private holdUnread(): void {
    if (this.hasClosed) return;
    this.unread ??= this.account.open(() => this.request.socket.destroy());
    this.unread.set(this.request.socket.writableLength);
  }

  end(): void {
    this.isAnswered = true;
    this.finish();
  }

  /** Ends the response; one that stays unread ends its connection. */
  private finish(body?: Buffer): void {
    const {socket} = this.request;
    this.response.end(body);
    if (socket.writableLength === 0) return;
    this.holdUnread();
    this.response.setTimeout(unreadMilliseconds, () => socket.destroy());
  }

  /** Writes a server's complete response. */
  sendResponse({headers}: ResponseHead, status: number, body: Buffer): void {
    this.isAnswered = true;
    const isHead = this.request.method === 'HEAD';
    if (isHead || bodilessStatuses.has(status)) {
      // A length is that of the body which another request would get.
      const mayHaveLength = status !== noContentStatus;
      this.writeHead(status, mayHaveLength ? headers : withoutLength(headers));
      this.finish();
      return;
    }
    this.writeHead(status, withoutLength(headers), body.length);
    this.finish(body);
  }

  /**
   * Writes an error response of the router.
   *
   * @param delay Seconds for `Retry-After`; by default those of the reason.
   */
  refuse(reason: RefusalReason, delay?: number): void {
    if (this.isAnswered) return;
    this.isAnswered = true;
    const {status, message, retryAfterSeconds, endsConnection} = {
      ...refusals[reason],
      ...(delay !== undefined && {retryAfterSeconds: ceilToTenths(delay)}),
    };
    const body = Buffer.from(`${JSON.stringify({error: reason, message})}\n`);
    const headers = ['content-type', 'application/json'];
    const isRead = isBodyRead(this.request);
    if (endsConnection || !isRead) this.isLast = true;
    if (retryAfterSeconds !== undefined) {
      headers.push('retry-after', String(retryAfterSeconds));
    }
    this.writeHead(status, headers, body.length);
    if (isRead) {
      this.finish(body);
      return;
    }
    this.response.write(body);
    discardRest(this.request, () => this.finish());
  }

  /** Aborts a started response so that it is not taken for a complete one. */
  abort(): void {
    this.isAnswered = true;
    const {socket} = this.request;
    socket.setTimeout(unreadMilliseconds, () => socket.destroy());
    socket.destroySoon();
  }

  private writeHead(
    status: number,
    headers: readonly string[],
    length?: number,
  ): void {
    const all = [...headers];
    if (length !== undefined) all.push('content-length', String(length));
    if (this.isLast || this.shouldCloseConnection()) {
      all.push('connection', 'close');
      this.isLast = true;
    }
    this.response.writeHead(status, all);
  }
}

function isBodyRead({complete, headers}: IncomingMessage): boolean {
  const length = headers['content-length'] ?? '0';
  const hasBody = length !== '0' || headers['transfer-encoding'] !== undefined;
  return complete || !hasBody;
}

/** Rounds up to tenths, so that no caller retries early. */
function ceilToTenths(seconds: number): number {
  return Math.ceil(seconds * 10) / 10;
}

function hasLength(headers: readonly string[]): boolean {
  return withoutLength(headers).length < headers.length;
}

function withoutLength(headers: readonly string[]): string[] {
  const remaining: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (name.toLowerCase() === 'content-length') continue;
    remaining.push(name, headers[index + 1] ?? '');
  }
  return remaining;
}
