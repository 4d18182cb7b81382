/**
 * @fileoverview Finds the head of a second response in the body of a response.
 *
 * Where only the close of its connection ends a body, HTTP takes all that a server
 * sends for that body: a second response as well, which may be to another request.
 */

/** Whether header lines, as alternating names and values, are a server's. */
export type HeadTest = (rawHeaders: string[]) => boolean;

const protocol = 'HTTP/1.';

const statusLine = /^HTTP\/1\.[01] [1-5]\d\d(?: |$)/;

/** Bytes of a status line up to its status. */
const statusLength = 'HTTP/1.1 200'.length;

const statusStart = /^HTTP\/1\.[01] [1-5]\d\d$/;

const headerLine = /^([\w-]+):\s*(.*)$/;

const lineEnd = '\r\n';

/** Longest line that is looked at; a longer one is no part of a head. */
const maxLineBytes = 1_024;

/** Most header lines that are looked at. */
const maxHeaderLines = 64;

/** What bytes are: `open` if more of them may make a head. */
type Finding = 'head' | 'open' | 'text';

/** Looks through a body, piece by piece. */
export class EmbeddedHeadFinder {
  /** End of the last pieces in which a head may begin. */
  private rest: Buffer = Buffer.alloc(0);

  constructor(private readonly isHead: HeadTest) {}

  /** Adds a piece; returns whether it completes a head that passes the test. */
  push(piece: Buffer): boolean {
    const bytes = Buffer.concat([this.rest, piece]);
    let open: number | undefined;
    let start = bytes.indexOf(protocol);
    while (start >= 0) {
      const finding = this.examine(bytes, start);
      if (finding === 'head') return true;
      if (finding === 'open') open ??= start;
      start = bytes.indexOf(protocol, start + protocol.length);
    }
    const from = open ?? bytes.length - protocol.length + 1;
    this.rest = bytes.subarray(Math.max(0, from));
    return false;
  }

  /** Reads line by line, as most text ends before the end of the first one. */
  private examine(bytes: Buffer, start: number): Finding {
    const status = bytes.toString('latin1', start, start + statusLength);
    if (status.length < statusLength) return 'open';
    if (!statusStart.test(status)) return 'text';
    const rawHeaders: string[] = [];
    let position = start;
    for (let lines = 0; lines <= maxHeaderLines; lines++) {
      const limit = Math.min(bytes.length, position + maxLineBytes);
      const length = bytes.subarray(position, limit).indexOf(lineEnd);
      if (length < 0) return limit < bytes.length ? 'text' : 'open';
      const line = bytes.toString('latin1', position, position + length);
      position += length + lineEnd.length;
      if (lines === 0) {
        if (!statusLine.test(line)) return 'text';
        continue;
      }
      const [, name, value] = headerLine.exec(line) ?? [];
      if (name === undefined || value === undefined) return 'text';
      rawHeaders.push(name, value);
      if (this.isHead(rawHeaders)) return 'head';
    }
    return 'text';
  }
}
