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
import {ByteAccumulator, type ByteBudget} from '@dogwoodtrestle/runtime';

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;
const space = 0x20;

/** Bytes since the last event beyond which it counts as one without end. */
const maxEventBytes = 1024 * 1024;

/** The same while responses occupy more memory than they may together. */
const maxCrowdedEventBytes = 64 * 1024;

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
  /** Bytes of the incomplete event. */
  private readonly held: ByteAccumulator;
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
  constructor(
    private readonly skipUpTo?: number,
    private readonly budget?: ByteBudget,
  ) {
    this.held = new ByteAccumulator(budget);
  }

  /** Id of the last complete event; undefined if a stream can't resume at it. */
  get lastEventId(): string | undefined {
    return this.lastId === '' ? undefined : this.lastId;
  }

  /** Whether bytes of an incomplete event are buffered. */
  get isInsideEvent(): boolean {
    return this.held.length > 0;
  }

  /**
   * Whether more bytes than any event may have came without one, or a long event
   * comes while many others are held.
   */
  get isEndless(): boolean {
    const isCrowded = this.budget?.isExceeded === true;
    const maxBytes = isCrowded ? maxCrowdedEventBytes : maxEventBytes;
    return this.bytesSinceEvent > maxBytes;
  }

  /** Drops the incomplete event. */
  close(): void {
    this.held.clear();
  }

  /** Adds a chunk and returns the events that it completes. */
  push(chunk: Buffer): EventBatch {
    if (chunk.length === 0) return {data: chunk, count: 0};
    const scanFrom = this.held.length;
    const isHolding = scanFrom > 0;
    if (isHolding) this.held.append(chunk);
    const bytes = isHolding ? this.held.bytes : chunk;
    const kept: Buffer[] = [];
    let count = 0;
    let keptFrom = 0;
    let start = 0;
    for (let position = scanFrom; position < bytes.length; position++) {
      const byte = bytes[position];
      if (this.isAfterReturn) {
        this.isAfterReturn = false;
        if (byte === lineFeed) {
          this.lineStart = position + 1;
          if (position === start) start++;
          continue;
        }
      }
      if (byte !== lineFeed && byte !== carriageReturn) continue;
      this.isAfterReturn = byte === carriageReturn;
      const isBlank = position === this.lineStart;
      if (!isBlank) this.readLine(bytes, position);
      this.lineStart = position + 1;
      const isEvent = isBlank && this.hasFields;
      if (this.hasFields && !isEvent) continue;
      const isDropped = isEvent && !this.endEvent();
      if (isDropped && start > keptFrom) {
        kept.push(bytes.subarray(keptFrom, start));
      }
      start = position + 1;
      if (isDropped) keptFrom = start;
      else if (isEvent) count++;
    }
    if (start > keptFrom) kept.push(bytes.subarray(keptFrom, start));
    const completed = kept.length === 1 ? kept[0]! : Buffer.concat(kept);
    // The held bytes are overwritten.
    const data =
      isHolding && kept.length === 1 ? Buffer.from(completed) : completed;
    this.bytesSinceEvent =
      count > 0 ? bytes.length - start : this.bytesSinceEvent + chunk.length;
    this.lineStart = Math.max(0, this.lineStart - start);
    if (isHolding) this.held.consume(start);
    else if (start < chunk.length) this.held.append(chunk.subarray(start));
    return {data, count};
  }

  /** Notes what the current line, which isn't blank, says of its event. */
  private readLine(bytes: Buffer, end: number): void {
    const start = this.fieldStart(bytes);
    if (bytes[start] === colon) return;
    this.hasFields = true;
    const id = readId(bytes.subarray(start, end));
    if (id !== undefined) this.pendingId = id;
  }

  /** Start of the current line, without the mark that a stream may begin with. */
  private fieldStart(bytes: Buffer): number {
    if (!this.isFirstLine) return this.lineStart;
    this.isFirstLine = false;
    const end = this.lineStart + byteOrderMark.length;
    const isMarked = bytes.subarray(this.lineStart, end).equals(byteOrderMark);
    return isMarked ? end : this.lineStart;
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
