/**
 * @fileoverview A socket that can withhold its bytes from its reader, and that ends
 * a response with too many bytes around its body.
 *
 * undici's own pause stops its parser, and a connection that ends meanwhile then
 * fails an assertion or a whole response. Here the parser goes on, and has nothing
 * to read; bytes beyond the socket's buffer stay with the peer.
 */
import {Socket} from 'node:net';

import {EndlessResponse, type ResponseOverhead} from './responseOverhead.js';

/**
 * Bytes that are read at once. undici parses all of them before it stops at a
 * limit, and creates an error for each header line beyond it.
 */
const maxReadBytes = 8 * 1024;

/** A socket for readers that wait for `readable`. */
export class PausableSocket extends Socket {
  private isWithholding = false;
  private overhead?: ResponseOverhead;

  /** Limits each response; one begins when the request before it was written. */
  limitOverhead(overhead: ResponseOverhead): void {
    this.overhead = overhead;
  }

  /** Records bytes of a body that the reader has found in what it read. */
  recordBody(bytes: number): void {
    this.overhead?.recordBody(bytes);
  }

  /** Withholds bytes until `offer` is called. */
  withhold(): void {
    this.isWithholding = true;
  }

  /** Offers bytes again, after the reader has returned. */
  offer(): void {
    if (!this.isWithholding) return;
    this.isWithholding = false;
    process.nextTick(() => {
      if (this.isWithholding || this.destroyed) return;
      if (this.readableLength > 0) this.emit('readable');
    });
  }

  override read(size?: number): unknown {
    // A size of 0 only fills the buffer.
    if (this.isWithholding && size !== 0) return null;
    // What is buffered is of no use once a limit has ended the connection.
    if (this.destroyed) return null;
    if (size !== 0 && this.overhead?.isExceeded(this.takenBytes) === true) {
      this.destroy(new EndlessResponse());
      return null;
    }
    const isLong = size === undefined && this.readableLength > maxReadBytes;
    return super.read(isLong ? maxReadBytes : size);
  }

  override _write(...args: Parameters<Socket['_write']>): void {
    this.overhead?.restart(this.takenBytes);
    super._write(...args);
  }

  override _writev(...args: Parameters<Required<Socket>['_writev']>): void {
    this.overhead?.restart(this.takenBytes);
    super._writev?.(...args);
  }

  /** Bytes that the reader has taken. */
  private get takenBytes(): number {
    return this.bytesRead - this.readableLength;
  }
}
