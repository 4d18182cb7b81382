/**
 * @fileoverview One attempt to send a request to a backend server.
 *
 * A failed attempt states whether the server can have executed the request, as
 * the caller may be told that it was not executed only where that is certain.
 */
import {type ServerSignal} from '@dogwoodtrestle/fleet';
import {
  ByteAccumulator,
  type Clock,
  EmbeddedHeadFinder,
  EndlessResponse,
  isOrderlyEnd,
} from '@dogwoodtrestle/runtime';
import {errors} from 'undici';

import {type EventCoalescer} from './eventCoalescer.js';
import {
  isRefusedConnection,
  LateConnection,
  type ServerConnection,
} from './serverConnections.js';
import {type PooledServer} from './serverPool.js';
import {
  type CallerRequest,
  type ResponseHead,
  type StatedLimit,
  type WireCodec,
} from './wireCodec.js';

/** Why an attempt ended without a complete response. */
export type AttemptFailure =
  /** No byte was sent. */
  | {kind: 'notSent'; reason: string}
  /** The server stated that it did not execute the request. */
  | {kind: 'notExecuted'; status: number}
  /**
   * The server may have executed the request. Its connection `isClosed` if the
   * server closed it, or reset it. A response with an `endless` part was given up.
   */
  | {
      kind: 'unknown';
      reason: string;
      isClosed?: boolean;
      endless?: 'pieces' | 'overhead';
    };

/** Receives the response; `onFailed` or `onEnd` is called last, and once. */
export interface AttemptListener {
  /** The response's head is valid. */
  onHead(status: number, head: ResponseHead): void;
  /** Receives bytes of the body; returns false to pause the connection. */
  onData(chunk: Buffer): boolean;
  /** The response is complete. */
  onEnd(): void;
  onFailed(failure: AttemptFailure): void;
}

/** Returns a listener that is called only while its attempt is the current one. */
export function whileCurrent(
  isCurrent: () => boolean,
  listener: AttemptListener,
): AttemptListener {
  return {
    onHead: (status, head) => {
      if (isCurrent()) listener.onHead(status, head);
    },
    onData: chunk => !isCurrent() || listener.onData(chunk),
    onEnd: () => {
      if (isCurrent()) listener.onEnd();
    },
    onFailed: failure => {
      if (isCurrent()) listener.onFailed(failure);
    },
  };
}

/** Options of an attempt. */
export interface AttemptOptions {
  request: CallerRequest;
  body: Buffer;
  headers: string[];
  server: PooledServer;
  codec: WireCodec;
  clock: Clock;
  /** Called once its connection is open; false ends the attempt unsent. */
  mayBeSent: (connection: ServerConnection) => boolean;
  /** Called with each signal of the server's state, before the listener. */
  onSignal: (signal: ServerSignal) => void;
  /**
   * Called with the limit that a response states, undefined if it states none,
   * and whether the response is certain to be that of the server now.
   */
  onLimit: (stated: StatedLimit | undefined, isCertain: boolean) => void;
}

/** Statuses that may state that a request was not executed. */
const notExecutedStatuses: ReadonlySet<number> = new Set([400, 421, 429, 503]);

/** Bytes of a refusal's body after which its connection is closed. */
const maxRefusalBytes = 64 * 1024;

/** Time after which that happens too, so that a refused request is not held. */
const refusalBodyMilliseconds = 100;

/** Size below which pieces of a body are collected before they are passed on. */
const smallPieceBytes = 1024;

/** Size below which a piece is tiny; an event has at least as many bytes. */
const tinyPieceBytes = 8;

/**
 * Tiny pieces of one response beyond which it counts as one without end: their
 * bytes are few, and the processor time for them is taken from other responses.
 */
const maxTinyPieces = 16_384;

/**
 * Whether a status is one of HTTP. A server that sends another is in trouble; its
 * response is taken for none.
 */
function isValidStatus(status: number): boolean {
  return status >= 100 && status < 600;
}

/** Statuses of responses that end with their head. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Statuses of an overloaded server. */
const overloadStatuses: ReadonlySet<number> = new Set([429, 503]);

/** One attempt; starts to send when it is created. */
export class Attempt {
  private readonly connection: ServerConnection;
  private isSent = false;
  /** Bytes that its connection had received before it was sent. */
  private bytesBefore = 0;
  private isOver = false;
  private head?: ResponseHead;
  /** Of a body that only the close ends. */
  private headFinder?: EmbeddedHeadFinder;
  private readonly pieces = new ByteAccumulator();
  private tinyPieces = 0;
  /** Whether the caller has yet to read what was passed on. */
  private waitsForCaller = false;
  /** Whether bytes are collected until all streams are read. */
  private isCoalescing = false;
  private refusal?: AttemptFailure;
  private refusalBytes = 0;
  private cancelRefusalTimer?: () => void;
  private onResult?: (hasRun: boolean) => void;
  private abortRequest?: (reason: Error) => void;

  constructor(
    private readonly input: AttemptOptions,
    private readonly listener: AttemptListener,
  ) {
    this.connection = input.server.connections.acquire();
    this.send();
  }

  /** Whether bytes of the request may have reached the server. */
  get mayHaveBeenSent(): boolean {
    return this.isSent;
  }

  /** Whether the connection carried another request before. */
  private get isReused(): boolean {
    return this.connection.requests > 1;
  }

  /** Whether reading waits until the caller has read what was passed on. */
  get isPaused(): boolean {
    return this.waitsForCaller;
  }

  private get bytesRead(): number {
    return this.connection.socket?.bytesRead ?? 0;
  }

  /** Resumes reading after `onData` returned false. */
  resume(): void {
    this.waitsForCaller = false;
    this.offer();
  }

  /** Collects what the server sends until a time at which all streams are read. */
  coalesce(coalescer: Pick<EventCoalescer, 'defer'>): void {
    if (this.isOver || this.isCoalescing) return;
    this.isCoalescing = coalescer.defer(() => {
      this.isCoalescing = false;
      this.offer();
    });
    if (this.isCoalescing) this.connection.socket?.withhold();
  }

  private offer(): void {
    if (this.isOver || this.waitsForCaller || this.isCoalescing) return;
    this.connection.socket?.offer();
  }

  /** Ends the attempt and closes its connection; no callback follows. */
  abort(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.abortRequest?.(new Error('aborted'));
    this.input.server.connections.drop(this.connection);
  }

  /**
   * Cancels the request. Half-closes the connection at once: a server that
   * then closes it without a byte has not executed the request, since it would
   * have responded first.
   *
   * @param onKnown Called once with whether the server may have executed the
   *     request; with true after `milliseconds` without a result.
   */
  cancel(
    {clock, milliseconds}: {clock: Clock; milliseconds: number},
    onKnown: (hasRun: boolean) => void,
  ): void {
    const {connection} = this;
    const isUnopened = connection.socket === undefined;
    if (this.isOver || this.head !== undefined || isUnopened) {
      this.abort();
      onKnown(this.isSent);
      return;
    }
    const cancel = clock.setTimer(milliseconds, () => this.onResult?.(true));
    this.onResult = hasRun => {
      this.onResult = undefined;
      cancel();
      this.abort();
      onKnown(hasRun);
    };
    this.input.server.connections.halfClose(connection);
  }

  private send(): void {
    const {request, body, headers} = this.input;
    this.connection.client.dispatch(
      {
        method: request.method,
        path: request.target,
        headers,
        body: body.length > 0 ? body : null,
      },
      {
        onRequestStart: controller => {
          this.abortRequest = reason => controller.abort(reason);
          if (this.isOver) controller.abort(new Error('aborted'));
          else this.beginSending();
        },
        onResponseStart: (controller, status) => {
          if (this.isOver) return;
          if (!isValidStatus(status)) {
            const reason = `response with the status ${status}`;
            this.failAndClose({kind: 'unknown', reason});
            return;
          }
          if (status < 200) return;
          const rawHeaders = decodeRawHeaders(controller.rawHeaders);
          if (this.onResult === undefined) this.receiveHead(status, rawHeaders);
          else this.receiveLateHead(status, rawHeaders);
        },
        onResponseData: (_, chunk) => {
          this.connection.socket?.recordBody(chunk.length);
          if (this.isOver) return;
          if (this.refusal !== undefined) {
            this.receiveRefusalBody(this.refusal, chunk);
            return;
          }
          this.recordByte();
          if (this.headFinder?.push(chunk) === true) this.failAsMixed();
          else this.receiveData(chunk);
        },
        onResponseEnd: () => this.end(),
        onResponseError: (_, error) => this.fail(error),
      },
    );
  }

  /** Records the arrival of bytes of the response. */
  private recordByte(): void {
    const {server, clock} = this.input;
    server.lastByteAt = clock.now();
    server.connections.recordByte(this.connection, server.lastByteAt);
  }

  private beginSending(): void {
    this.isSent ||= this.input.mayBeSent(this.connection);
    this.connection.isAwaiting = this.isSent;
    this.bytesBefore = this.bytesRead;
    if (this.isSent) return;
    this.failAndClose({kind: 'notSent', reason: 'server is limited'});
  }

  /** Collects small pieces of one read, as each costs more than its bytes. */
  private receiveData(chunk: Buffer): void {
    if (chunk.length < tinyPieceBytes && ++this.tinyPieces > maxTinyPieces) {
      const reason = 'response in tiny pieces without end';
      this.failAndClose({kind: 'unknown', reason, endless: 'pieces'});
      return;
    }
    const hasPieces = this.pieces.length > 0;
    if (!hasPieces && chunk.length >= smallPieceBytes) {
      this.passOn(chunk);
      return;
    }
    this.pieces.append(chunk);
    if (!hasPieces) process.nextTick(() => this.passOnPieces());
  }

  private passOnPieces(): void {
    if (this.pieces.length > 0) this.passOn(this.pieces.take());
  }

  private passOn(data: Buffer): void {
    if (this.isOver || this.listener.onData(data)) return;
    this.waitsForCaller = true;
    this.connection.socket?.withhold();
  }

  private receiveHead(status: number, rawHeaders: string[]): void {
    const {codec, server, clock} = this.input;
    server.lastByteAt = clock.now();
    const head = codec.decodeResponse(rawHeaders);
    this.reportSignals(status, head);
    if (this.isForeign(head)) {
      this.failAndClose({
        kind: 'unknown',
        reason: 'response to another request',
      });
      return;
    }
    const isRefusal =
      status === 421 || (head.isNotExecuted && notExecutedStatuses.has(status));
    if (isRefusal && head.attemptId === undefined && this.isReused) {
      // It may be an earlier refusal once more.
      const reason = 'refusal without id on a reused connection';
      this.failAndClose({kind: 'unknown', reason});
      return;
    }
    if (isRefusal) {
      const refusal: AttemptFailure = {kind: 'notExecuted', status};
      this.refusal = refusal;
      this.cancelRefusalTimer = clock.setTimer(refusalBodyMilliseconds, () => {
        if (!this.isOver) this.failAndClose(refusal);
      });
      return;
    }
    const isSuccess = status < 300;
    if (head.attemptId === undefined || (isSuccess && !head.isSigned)) {
      this.failAndClose({
        kind: 'unknown',
        reason: 'response without id or signature',
      });
      return;
    }
    if (head.isEncoded) {
      this.failAndClose({kind: 'unknown', reason: 'response with an encoding'});
      return;
    }
    if (head.isUnframed && !this.endsWithHead(status)) {
      server.connections.pauseReuse();
      this.headFinder = new EmbeddedHeadFinder(
        headers => codec.decodeResponse(headers).attemptId !== undefined,
      );
    }
    this.head = head;
    server.connections.recordByte(this.connection, server.lastByteAt);
    this.listener.onHead(status, head);
  }

  private endsWithHead(status: number): boolean {
    return this.input.request.method === 'HEAD' || bodilessStatuses.has(status);
  }

  /** Ends the attempt, as a second response is in the body of the first. */
  private failAsMixed(): void {
    this.input.server.connections.recordUnsolicited('response');
    const reason = 'second response in the body';
    this.failAndClose({kind: 'unknown', reason});
  }

  /** Closes the connection where the body of a refusal is too long. */
  private receiveRefusalBody(refusal: AttemptFailure, chunk: Buffer): void {
    this.refusalBytes += chunk.length;
    if (this.refusalBytes > maxRefusalBytes) this.failAndClose(refusal);
  }

  /** The server responded before it noticed the cancellation. */
  private receiveLateHead(status: number, rawHeaders: string[]): void {
    const head = this.input.codec.decodeResponse(rawHeaders);
    this.reportSignals(status, head);
    const isForeign = this.isForeign(head);
    const isCertain =
      !isForeign && (head.attemptId !== undefined || !this.isReused);
    const isRefusal = status === 421 || head.isNotExecuted;
    this.onResult?.(!isRefusal || !isCertain);
  }

  /** Whether a response is to another request; records it then. */
  private isForeign({attemptId}: ResponseHead): boolean {
    const {request, server} = this.input;
    // Another instance refuses a request without the request's attempt id.
    const isOwn = attemptId === request.attemptId;
    if (attemptId === undefined || isOwn) return false;
    server.connections.recordUnsolicited('response');
    return true;
  }

  private reportSignals(status: number, head: ResponseHead): void {
    // 421 comes from another server that has taken over the address.
    if (status === 421) return;
    const {onSignal, onLimit, request} = this.input;
    onLimit(head.requestLimit, head.attemptId === request.attemptId);
    const {isLeaving, isNotExecuted, retryAfterSeconds} = head;
    if (isLeaving) onSignal({kind: 'leaving'});
    const isOverloaded =
      overloadStatuses.has(status) &&
      (isNotExecuted || retryAfterSeconds !== undefined);
    if (isOverloaded) onSignal({kind: 'refused', retryAfterSeconds});
    else onSignal({kind: 'answered'});
  }

  private end(): void {
    this.passOnPieces();
    if (this.isOver) return;
    if (this.refusal !== undefined) {
      this.failAndRelease(this.refusal);
      return;
    }
    if (this.head === undefined || this.isCutOff(this.head)) {
      const reason = 'connection was reset';
      this.failAndClose({kind: 'unknown', reason, isClosed: true});
      return;
    }
    this.isOver = true;
    this.input.server.connections.release(this.connection);
    this.listener.onEnd();
  }

  /** Whether a response was ended by a reset. One without a length may hide it. */
  private isCutOff({isUnframed}: ResponseHead): boolean {
    const {wasReset, socket} = this.connection;
    if (wasReset) return true;
    return isUnframed && socket !== undefined && !isOrderlyEnd(socket);
  }

  private failAndRelease(failure: AttemptFailure): void {
    this.isOver = true;
    this.cancelRefusalTimer?.();
    this.input.server.connections.release(this.connection);
    this.listener.onFailed(failure);
  }

  private fail(error: Error): void {
    this.passOnPieces();
    if (this.isOver) return;
    if (this.onResult !== undefined) {
      const isAnswered = this.bytesRead > this.bytesBefore;
      const {wasReset} = this.connection;
      this.onResult(this.isSent && (wasReset || isAnswered));
      return;
    }
    if (this.refusal !== undefined) {
      this.failAndClose(this.refusal);
      return;
    }
    const isUnreadable = error instanceof errors.HTTPParserError;
    if (this.isSent && this.isReused && isUnreadable) {
      this.input.server.connections.recordUnsolicited('response');
    }
    const reason = error.message;
    if (error instanceof EndlessResponse) {
      this.failAndClose({kind: 'unknown', reason, endless: 'overhead'});
      return;
    }
    if (!this.isSent && !(error instanceof LateConnection)) {
      const isRefused = isRefusedConnection(error);
      this.input.onSignal({kind: 'unreachable', isRefused});
    }
    this.failAndClose(
      this.isSent
        ? {kind: 'unknown', reason, isClosed: true}
        : {kind: 'notSent', reason},
    );
  }

  private failAndClose(failure: AttemptFailure): void {
    this.isOver = true;
    this.cancelRefusalTimer?.();
    this.abortRequest?.(new Error('aborted'));
    this.input.server.connections.drop(this.connection);
    this.listener.onFailed(failure);
  }
}

function decodeRawHeaders(rawHeaders: unknown): string[] {
  return (rawHeaders as Buffer[]).map(value => value.toString('latin1'));
}
