/**
 * @fileoverview Splits a stream of server-sent events into complete events, so
 * that a truncated event is never relayed.
 *
 * Follows the event stream format of the HTML standard: a line ends with CR, LF or
 * both; a blank line ends an event; a field may stand anywhere in it, and the last
 * `id` counts; an event without one has the id of the event before it. Comments
 * between events are relayed as they arrive. Each byte is looked at once, however
 * small the pieces are in which it comes.
 */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;
const space = 0x20;

/** Bytes since the last event beyond which it counts as one without end. */
const maxEventBytes = 1024 * 1024;

/** Space for the bytes of an incomplete event at first; doubled as they grow. */
const minHeldBytes = 1024;

const byteOrderMark = Buffer.from([0xef, 0xbb, 0xbf]);

/** Events completed by one chunk. */
export interface EventBatch {
  /** Bytes of the events and of comments between them, in order. */
  data: Buffer;
  /** Number of events. */
  count: number;
}

/** Scans the bytes of one event stream. */
export class EventScanner {
  /** Bytes of the incomplete event, at the start of a buffer that is reused. */
  private held = Buffer.alloc(0);
  private heldLength = 0;
  /** Start of the current line in the held bytes. */
  private lineStart = 0;
  /** Whether the incomplete event has a line other than comments. */
  private hasFields = false;
  /** Value of the last `id` in the incomplete event. */
  private pendingId?: string;
  private lastId?: string;
  /** Whether a line feed that comes next belongs to the line before it. */
  private isAfterReturn = false;
  private bytesSinceEvent = 0;
  private isFirstLine = true;

  /**
   * @param skipUpTo Id of the last event that the caller has received; events
   *     up to it are dropped.
   */
  constructor(private readonly skipUpTo?: number) {}

  /** Id of the last complete event; undefined if a stream can't resume at it. */
  get lastEventId(): string | undefined {
    return this.lastId === '' ? undefined : this.lastId;
  }

  /** Whether bytes of an incomplete event are buffered. */
  get isInsideEvent(): boolean {
    return this.heldLength > 0;
  }

  /** Whether more bytes than any event may have came without one. */
  get isEndless(): boolean {
    return this.bytesSinceEvent > maxEventBytes;
  }

  /** Adds a chunk and returns the events that it completes. */
  push(chunk: Buffer): EventBatch {
    if (chunk.length === 0) return {data: chunk, count: 0};
    const isHolding = this.heldLength > 0;
    const scanFrom = this.heldLength;
    const bytes = isHolding ? this.hold(chunk) : chunk;
    const kept: Buffer[] = [];
    let count = 0;
    let start = 0;
    for (let position = scanFrom; position < bytes.length; position++) {
      const byte = bytes[position];
      if (this.isAfterReturn) {
        this.isAfterReturn = false;
        if (byte === lineFeed) {
          this.lineStart = position + 1;
          if (position === start) kept.push(bytes.subarray(start, ++start));
          continue;
        }
      }
      if (byte !== lineFeed && byte !== carriageReturn) continue;
      this.isAfterReturn = byte === carriageReturn;
      const line = bytes.subarray(this.lineStart, position);
      this.lineStart = position + 1;
      if (line.length > 0) this.readLine(line);
      const isEvent = line.length === 0 && this.hasFields;
      if (this.hasFields && !isEvent) continue;
      const part = bytes.subarray(start, position + 1);
      start = position + 1;
      if (!isEvent) kept.push(part);
      else if (this.endEvent()) {
        kept.push(part);
        count++;
      }
    }
    const completed = kept.length === 1 ? kept[0]! : Buffer.concat(kept);
    // The held bytes are overwritten.
    const data =
      isHolding && kept.length === 1 ? Buffer.from(completed) : completed;
    this.bytesSinceEvent =
      count > 0 ? bytes.length - start : this.bytesSinceEvent + chunk.length;
    this.keep(bytes, start, isHolding);
    return {data, count};
  }

  /** Notes what a line that isn't blank says of its event. */
  private readLine(bytes: Buffer): void {
    const mark = bytes.subarray(0, byteOrderMark.length);
    const isMarked = this.isFirstLine && mark.equals(byteOrderMark);
    const line = isMarked ? bytes.subarray(byteOrderMark.length) : bytes;
    this.isFirstLine = false;
    if (line[0] === colon) return;
    this.hasFields = true;
    const id = readId(line);
    if (id !== undefined) this.pendingId = id;
  }

  /** Ends the current event; returns false if the caller has received it. */
  private endEvent(): boolean {
    const {pendingId, lastId, skipUpTo} = this;
    this.hasFields = false;
    this.pendingId = undefined;
    if (pendingId !== undefined) this.lastId = pendingId;
    if (skipUpTo === undefined) return true;
    if (pendingId !== undefined) return !(Number(pendingId) <= skipUpTo);
    // One with the id of an event before the last one that was received.
    return lastId === undefined || !(Number(lastId) < skipUpTo);
  }

  /** Appends a chunk to the held bytes, and returns all of them. */
  private hold(chunk: Buffer): Buffer {
    const length = this.heldLength + chunk.length;
    this.reserve(length);
    chunk.copy(this.held, this.heldLength);
    this.heldLength = length;
    return this.held.subarray(0, length);
  }

  /** Keeps the bytes of the incomplete event. */
  private keep(bytes: Buffer, start: number, isHolding: boolean): void {
    const length = bytes.length - start;
    this.lineStart = Math.max(0, this.lineStart - start);
    if (isHolding) {
      if (start > 0) this.held.copyWithin(0, start, bytes.length);
    } else if (length > 0) {
      this.reserve(length);
      bytes.copy(this.held, 0, start);
    }
    this.heldLength = length;
    const isLarge = this.held.length > minHeldBytes;
    if (length === 0 && isLarge) this.held = Buffer.alloc(0);
  }

  private reserve(length: number): void {
    if (length <= this.held.length) return;
    const size = Math.max(minHeldBytes, length, this.held.length * 2);
    const larger = Buffer.allocUnsafe(size);
    this.held.copy(larger, 0, 0, this.heldLength);
    this.held = larger;
  }
}

/**
 * Returns the value of a line with the field `id`. A stream can't resume at one
 * with control characters, so it counts as empty.
 */
function readId(line: Buffer): string | undefined {
  const hasName = line[0] === 0x69 && line[1] === 0x64;
  if (!hasName || (line.length > 2 && line[2] !== colon)) return undefined;
  const value = line.subarray(line[3] === space ? 4 : 3);
  if (value.includes(0)) return undefined;
  return value.some(isControlCharacter) ? '' : value.toString('latin1');
}

function isControlCharacter(byte: number): boolean {
  return byte < space || byte === 0x7f;
}
