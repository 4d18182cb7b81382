/**
 * @fileoverview The caller's side of one request: its answer, written once.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';

import {type RefusalReason, refusals} from './refusal.js';
import {type ResponseHead} from './wireCodec.js';

/** Writes the answer to one request. */
export class CallerExchange {
  private isAnswered = false;
  private isUnframed = false;
  private goneListener?: () => void;
  private isLast = false;
  /** Resolves once the answer is written, or the connection has ended. */
  readonly closed: Promise<void>;

  /** @param shouldCloseConnection Whether the connection ends with the answer. */
  constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly shouldCloseConnection: () => boolean,
  ) {
    this.closed = new Promise(resolve => response.once('close', resolve));
    response.on('close', () => {
      if (response.writableFinished) return;
      this.isAnswered = true;
      this.goneListener?.();
    });
  }

  /** Whether the head of a server's answer was written. */
  get isStarted(): boolean {
    return this.response.headersSent;
  }

  /** Whether the connection ends with this answer. */
  get endsConnection(): boolean {
    return this.isLast || !this.response.writableFinished;
  }

  /** Whether the caller has closed its connection, or its side of it. */
  get hasCallerLeft(): boolean {
    const {socket} = this.request;
    return socket.destroyed || socket.readableEnded;
  }

  /** Calls back when the caller closes its connection before the end. */
  onDisconnect(listener: () => void): void {
    this.goneListener = listener;
  }

  /** Whether the answer's end isn't marked other than by its connection. */
  get isStartedUnframed(): boolean {
    return this.isUnframed;
  }

  /**
   * Begins an answer whose body follows. One that a server sent without a
   * length is passed on without one, since its end may not be its own.
   */
  start({headers, isUnframed}: ResponseHead, status: number): void {
    this.isUnframed = isUnframed;
    this.writeHead(status, headers);
    this.response.flushHeaders();
  }

  /** Writes a part of the body; false until `onDrain` is called. */
  write(data: Buffer, onDrain: () => void): boolean {
    if (this.response.write(data)) return true;
    this.response.once('drain', onDrain);
    return false;
  }

  end(): void {
    this.isAnswered = true;
    this.response.end();
  }

  /** Writes a whole answer of a server. */
  sendResponse(
    {headers, isUnframed}: ResponseHead,
    status: number,
    body: Buffer,
  ): void {
    this.isAnswered = true;
    this.isUnframed = isUnframed;
    const length = isUnframed ? undefined : body.length;
    this.writeHead(status, withoutLength(headers), length);
    this.response.end(this.request.method === 'HEAD' ? undefined : body);
  }

  /**
   * Writes an answer of the router's own.
   *
   * @param after Seconds to come back after; those of the reason by default.
   */
  refuse(reason: RefusalReason, after?: number): void {
    if (this.isAnswered) return;
    this.isAnswered = true;
    const {status, message, retryAfterSeconds} = {
      ...refusals[reason],
      ...(after !== undefined && {retryAfterSeconds: roundSeconds(after)}),
    };
    const body = Buffer.from(`${JSON.stringify({error: reason, message})}\n`);
    const headers = ['content-type', 'application/json'];
    if (retryAfterSeconds !== undefined) {
      headers.push('retry-after', String(retryAfterSeconds));
    }
    this.writeHead(status, headers, body.length);
    this.response.end(body);
  }

  /** Ends an answer in the middle, so that it can't be taken for whole. */
  abort(): void {
    this.isAnswered = true;
    const {socket} = this.request;
    // Only a reset shows that an answer without a length isn't whole; where
    // its end is marked, what was written is delivered first.
    if (this.isUnframed) socket.resetAndDestroy();
    else socket.destroySoon();
  }

  private writeHead(
    status: number,
    headers: readonly string[],
    length?: number,
  ): void {
    const all = [...headers];
    if (length !== undefined) all.push('content-length', String(length));
    if (this.isUnframed) this.response.removeHeader('transfer-encoding');
    if (this.isUnframed || this.shouldCloseConnection()) {
      all.push('connection', 'close');
      this.isLast = true;
    }
    this.response.writeHead(status, all);
  }
}

/** Tenths are enough for callers, and never early. */
function roundSeconds(seconds: number): number {
  return Math.ceil(seconds * 10) / 10;
}

function withoutLength(headers: readonly string[]): string[] {
  const rest: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (name.toLowerCase() === 'content-length') continue;
    rest.push(name, headers[index + 1] ?? '');
  }
  return rest;
}
