/**
 * @fileoverview One send of a request to one backend server.
 *
 * The outcome says what is known of the request at the server, so that a reply
 * that promises "not run" can only be made from an outcome that allows it.
 */
import {type ServerNews} from '@dogwoodtrestle/fleet';
import {type Clock} from '@dogwoodtrestle/runtime';

import {type ServerConnection} from './serverConnections.js';
import {type PooledServer} from './serverPool.js';
import {
  type CallerRequest,
  type ResponseHead,
  type WireCodec,
} from './wireCodec.js';

/** Why an attempt ended without the server's whole answer. */
export type AttemptFailure =
  /** No byte was sent. */
  | {kind: 'notSent'; reason: string}
  /** The server said that it did not run the request. */
  | {kind: 'notExecuted'; status: number}
  /** It may have run. */
  | {kind: 'unknown'; reason: string};

/** Hears what comes of an attempt; `onFailed` or `onEnd` comes last. */
export interface AttemptListener {
  /** The head of the server's answer, checked. */
  onHead(status: number, head: ResponseHead): void;
  /** Bytes of its body; false pauses the connection. */
  onData(chunk: Buffer): boolean;
  /** The answer is whole. */
  onEnd(): void;
  onFailed(failure: AttemptFailure): void;
}

/** What is sent. */
export interface AttemptOptions {
  request: CallerRequest;
  body: Buffer;
  headers: string[];
  server: PooledServer;
  codec: WireCodec;
  now: () => number;
  /** Hears what an answer says of the server, before the listener does. */
  onSignal: (news: ServerNews) => void;
}

/** Statuses by which a server states that a request did not run. */
const notExecutedStatuses: ReadonlySet<number> = new Set([400, 421, 429, 503]);

/** Statuses by which a server turns work away. */
const overloadStatuses: ReadonlySet<number> = new Set([429, 503]);

/** A send in progress. */
export class Attempt {
  private readonly connection: ServerConnection;
  private isSent = false;
  private isOver = false;
  private head?: ResponseHead;
  private refusal?: AttemptFailure;
  private resumeBody?: () => void;
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

  /** Goes on after `onData` returned false. */
  resume(): void {
    this.resumeBody?.();
  }

  /** Ends the attempt at once, and closes its connection. */
  abort(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.abortRequest?.(new Error('aborted'));
    this.input.server.connections.drop(this.connection);
  }

  /**
   * Gives the request up, and calls back once it is known whether it has run,
   * or at the end of a time. The router's side of the connection closes at
   * once; a server that then closes its own without a byte has not run the
   * request, since it would have answered first.
   */
  cancel(
    {clock, milliseconds}: {clock: Clock; milliseconds: number},
    onKnown: (hasRun: boolean) => void,
  ): void {
    const {socket} = this.connection;
    if (this.isOver || this.head !== undefined || socket === undefined) {
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
    socket.end();
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
          this.isSent = true;
          this.abortRequest = reason => controller.abort(reason);
          this.resumeBody = () => controller.resume();
          if (this.isOver) controller.abort(new Error('aborted'));
        },
        onResponseStart: (controller, status) => {
          if (status < 200 || this.isOver) return;
          const rawHeaders = decodeRawHeaders(controller.rawHeaders);
          if (this.onResult === undefined) this.receiveHead(status, rawHeaders);
          else this.receiveLateHead(status, rawHeaders);
        },
        onResponseData: (controller, chunk) => {
          if (this.isOver || this.refusal !== undefined) return;
          this.input.server.lastByteAt = this.input.now();
          if (!this.listener.onData(chunk)) controller.pause();
        },
        onResponseEnd: () => this.end(),
        onResponseError: (_, error) => this.fail(error),
      },
    );
  }

  private receiveHead(status: number, rawHeaders: string[]): void {
    const {codec, request, server, now} = this.input;
    server.lastByteAt = now();
    const head = codec.decodeResponse(rawHeaders);
    this.reportSignals(status, head);
    // Another instance answers without the id of a request that it refuses.
    const isForeign =
      head.attemptId !== undefined && head.attemptId !== request.attemptId;
    if (isForeign) {
      this.failAndClose({kind: 'unknown', reason: 'answer to another request'});
      return;
    }
    if (
      status === 421 ||
      (head.isNotExecuted && notExecutedStatuses.has(status))
    ) {
      this.refusal = {kind: 'notExecuted', status};
      return;
    }
    const isSuccess = status < 300;
    if (head.attemptId === undefined || (isSuccess && !head.isSigned)) {
      this.failAndClose({kind: 'unknown', reason: 'answer without its marks'});
      return;
    }
    if (head.isEncoded) {
      this.failAndClose({kind: 'unknown', reason: 'answer with an encoding'});
      return;
    }
    this.head = head;
    this.listener.onHead(status, head);
  }

  /** The server answered before it heard that the request is given up. */
  private receiveLateHead(status: number, rawHeaders: string[]): void {
    const head = this.input.codec.decodeResponse(rawHeaders);
    this.reportSignals(status, head);
    this.onResult?.(status !== 421 && !head.isNotExecuted);
  }

  private reportSignals(status: number, head: ResponseHead): void {
    // 421 comes from another server, which has the address now.
    if (status === 421) return;
    const {onSignal: onSignal} = this.input;
    const {isLeaving, isNotExecuted, retryAfterSeconds} = head;
    if (isLeaving) onSignal({kind: 'leaving'});
    const isOverloaded =
      overloadStatuses.has(status) &&
      (isNotExecuted || retryAfterSeconds !== undefined);
    if (isOverloaded) onSignal({kind: 'refused', retryAfterSeconds});
    else onSignal({kind: 'answered'});
  }

  private end(): void {
    if (this.isOver) return;
    if (this.refusal !== undefined) {
      this.failAndRelease(this.refusal);
      return;
    }
    if (this.head === undefined || this.connection.wasReset) {
      this.failAndClose({kind: 'unknown', reason: 'connection was reset'});
      return;
    }
    this.isOver = true;
    this.input.server.connections.release(this.connection);
    this.listener.onEnd();
  }

  private failAndRelease(failure: AttemptFailure): void {
    this.isOver = true;
    this.input.server.connections.release(this.connection);
    this.listener.onFailed(failure);
  }

  private fail(error: Error): void {
    if (this.isOver) return;
    if (this.onResult !== undefined) {
      this.onResult(this.isSent && this.connection.wasReset);
      return;
    }
    if (this.refusal !== undefined) {
      this.failAndClose(this.refusal);
      return;
    }
    const reason = error.message;
    if (!this.isSent) this.input.onSignal({kind: 'unreachable'});
    this.failAndClose(
      this.isSent ? {kind: 'unknown', reason} : {kind: 'notSent', reason},
    );
  }

  private failAndClose(failure: AttemptFailure): void {
    this.isOver = true;
    this.abortRequest?.(new Error('aborted'));
    this.input.server.connections.drop(this.connection);
    this.listener.onFailed(failure);
  }
}

function decodeRawHeaders(rawHeaders: unknown): string[] {
  return (rawHeaders as Buffer[]).map(value => value.toString('latin1'));
}
