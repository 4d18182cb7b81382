/**
 * @fileoverview Reads the body of a request into one buffer, within a limit of its
 * bytes, a limit of its time, and an account of all bodies.
 */
import {type IncomingMessage} from 'node:http';

import {type ByteAccount, type HeldBytes} from './byteAccount.js';
import {type Clock, systemClock} from './clock.js';
import {SegmentedBytes} from './segmentedBytes.js';

/** Why a body was not read to its end. */
export type BodyFailure =
  /** It has more bytes than its limit, or announces more. */
  | 'tooLarge'
  /** Its end did not arrive in time. */
  | 'late'
  /** The account is exceeded, and this body is the largest. */
  | 'crowded'
  /** The connection ended before the body did. */
  | 'gone';

/** A body that was read. Its holder is released by the reader's caller. */
export interface ReadBody {
  bytes: Buffer;
  held: HeldBytes;
}

/** Limits of one body. */
export interface BodyReaderOptions {
  maxBytes: number;
  account: ByteAccount;
  /** Time from now to the body's end; no limit if it is missing. */
  milliseconds?: number;
  clock?: Clock;
}

/** Size below which a piece costs much more than its bytes. */
const tinyPieceBytes = 64;

/** Tiny pieces that are counted together. */
const countedPieces = 64;

/** Reads a body, or returns why it wasn't read. */
export function readBody(
  message: IncomingMessage,
  options: BodyReaderOptions,
): Promise<ReadBody | BodyFailure> {
  return new Promise(resolve => {
    new BodyReader(message, options, resolve).start();
  });
}

class BodyReader {
  private readonly held: HeldBytes;
  private readonly body = new SegmentedBytes();
  private cancelTimer?: () => void;
  private isOver = false;
  private tinyPieces = 0;

  constructor(
    private readonly message: IncomingMessage,
    private readonly options: BodyReaderOptions,
    private readonly onResult: (result: ReadBody | BodyFailure) => void,
  ) {
    this.held = options.account.open(() => this.fail('crowded'));
  }

  start(): void {
    const {message, options} = this;
    const {milliseconds, maxBytes, clock = systemClock} = options;
    const announced = Number(message.headers['content-length'] ?? 0);
    if (message.destroyed) return this.fail('gone');
    if (announced > maxBytes) return this.fail('tooLarge');
    message.on('data', this.receive);
    message.once('end', this.complete);
    message.once('error', this.leave);
    message.once('close', this.leave);
    if (milliseconds === undefined || message.complete) return;
    this.cancelTimer = clock.setTimer(milliseconds, () => this.fail('late'));
  }

  private readonly receive = (piece: Buffer): void => {
    if (this.body.length + piece.length > this.options.maxBytes) {
      this.fail('tooLarge');
      return;
    }
    this.body.append(piece);
    const {capacity} = this.body;
    if (capacity !== this.held.bytes) this.held.set(capacity);
    if (piece.length >= tinyPieceBytes) return;
    this.tinyPieces++;
    if (this.tinyPieces % countedPieces === 0) {
      this.held.addPieces(countedPieces);
    }
  };

  private readonly complete = (): void => {
    if (!this.stop()) return;
    const {held} = this;
    held.keep();
    this.onResult({bytes: this.body.take(), held});
  };

  private readonly leave = (): void => this.fail('gone');

  private fail(failure: BodyFailure): void {
    if (!this.stop()) return;
    this.body.clear();
    this.held.release();
    this.onResult(failure);
  }

  private stop(): boolean {
    if (this.isOver) return false;
    this.isOver = true;
    this.cancelTimer?.();
    this.message.off('data', this.receive);
    this.message.off('end', this.complete);
    this.message.off('close', this.leave);
    // An error of the connection may still follow; it needs a listener.
    return true;
  }
}
