/**
 * @fileoverview Counts the bytes of one response that are not its body: status
 * line, header lines, informational responses, chunk sizes and extensions,
 * trailers. A parser reports nothing of most of them, so they are counted as what
 * was read less what was delivered, whatever they are.
 */

/**
 * Bytes around a body, beyond as many as the body has, after which a response
 * counts as one without end.
 */
export const maxOverheadBytes = 256 * 1024;

/** A peer sent more bytes that are no body than any response has. */
export class EndlessResponse extends Error {
  override name = 'EndlessResponse';

  constructor() {
    super('response with bytes that are no body, without end');
  }
}

/** The overhead of the response that a connection carries now. */
export class ResponseOverhead {
  private startBytes = 0;
  private bodyBytes = 0;

  constructor(private readonly maxBytes: number = maxOverheadBytes) {}

  /** Begins a response, on a connection of which this many bytes were read. */
  restart(readBytes: number): void {
    this.startBytes = readBytes;
    this.bodyBytes = 0;
  }

  /** Records bytes of the body, as the parser delivers them. */
  recordBody(bytes: number): void {
    this.bodyBytes += bytes;
  }

  /** Whether too many of the bytes read of the connection are no body. */
  isExceeded(readBytes: number): boolean {
    const overhead = readBytes - this.startBytes - this.bodyBytes;
    return overhead > this.maxBytes + this.bodyBytes;
  }
}
