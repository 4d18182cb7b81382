/**
 * @fileoverview Splits a stream of server-sent events into complete events, so
 * that a truncated event is never relayed.
 */

const newline = 0x0a;

/** Bytes of an event beyond which it counts as one without end. */
const maxEventBytes = 1024 * 1024;

/** Events completed by one chunk. */
export interface EventBatch {
  /** Bytes of the events, in order. */
  data: Buffer;
  /** Number of events. */
  count: number;
}

/** Scans the bytes of one event stream. */
export class EventScanner {
  private rest: Buffer = Buffer.alloc(0);
  private lastId?: string;

  /**
   * @param skipUpTo Id of the last event that the caller has received; events
   *     up to it are dropped.
   */
  constructor(private readonly skipUpTo?: number) {}

  /** Id of the last complete event. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Whether bytes of an incomplete event are buffered. */
  get isInsideEvent(): boolean {
    return this.rest.length > 0;
  }

  /** Whether the incomplete event is longer than any event may be. */
  get isEndless(): boolean {
    return this.rest.length > maxEventBytes;
  }

  /** Adds a chunk and returns the events that it completes. */
  push(chunk: Buffer): EventBatch {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const kept: Buffer[] = [];
    let start = 0;
    for (
      let end = eventEnd(bytes, start);
      end > 0;
      end = eventEnd(bytes, end)
    ) {
      const event = bytes.subarray(start, end);
      start = end;
      const id = eventId(event);
      if (id !== undefined) this.lastId = id;
      if (!this.isAlreadyDelivered(id)) kept.push(event);
    }
    this.rest = bytes.subarray(start);
    return {
      data: kept.length === 1 ? kept[0]! : Buffer.concat(kept),
      count: kept.length,
    };
  }

  private isAlreadyDelivered(id: string | undefined): boolean {
    if (this.skipUpTo === undefined || id === undefined) return false;
    return Number(id) <= this.skipUpTo;
  }
}

/** Returns the position after the blank line that ends an event, or -1. */
function eventEnd(bytes: Buffer, from: number): number {
  let position = bytes.indexOf(newline, from);
  while (position >= 0) {
    const next = bytes[position + 1];
    if (next === newline) return position + 2;
    if (next === 0x0d && bytes[position + 2] === newline) return position + 3;
    position = bytes.indexOf(newline, position + 1);
  }
  return -1;
}

function eventId(event: Buffer): string | undefined {
  const position = event.indexOf('id:');
  if (position < 0) return undefined;
  if (position > 0 && event[position - 1] !== newline) return undefined;
  const end = event.indexOf(newline, position);
  return event
    .toString('latin1', position + 3, end < 0 ? undefined : end)
    .trim();
}
