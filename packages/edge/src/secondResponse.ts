/**
 * @fileoverview Finds a second response of a server inside a body that only the close
 * of its connection delimits. HTTP can't tell the two apart there; the id of the
 * attempt, which the head of the second response repeats, does.
 */

const headStart = 'HTTP/1.';
const headEnd = '\r\n\r\n';

/** Characters after which the text behind `headStart` is taken for no head. */
const maxHeadCharacters = 32 * 1024;

/** Looks through the body of one response as it arrives. */
export class SecondResponse {
  /** What may be the start of a head. */
  private rest = '';

  constructor(private readonly attemptId: string) {}

  /** Whether the body so far contains the head of a response to the attempt. */
  isInside(chunk: Buffer): boolean {
    let text = this.rest + chunk.toString('latin1');
    for (;;) {
      const start = text.indexOf(headStart);
      if (start < 0) {
        this.rest = text.slice(1 - headStart.length);
        return false;
      }
      text = text.slice(start);
      const end = text.indexOf(headEnd);
      const head = text.slice(0, end < 0 ? maxHeadCharacters : end);
      if (head.includes(this.attemptId)) return true;
      if (end < 0 && text.length < maxHeadCharacters) {
        this.rest = text;
        return false;
      }
      text = text.slice(headStart.length);
    }
  }
}
