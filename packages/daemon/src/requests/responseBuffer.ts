/**
 * @fileoverview Buffers the response of one request while it is produced.
 *
 * The run of a request writes to the buffer, and any number of connections
 * read from it, each from the start and at its own speed, so that a caller's
 * retry can join a running request. The run waits for the fastest reader,
 * which bounds the data that no reader has consumed yet.
 */
import {type StoredAnswer} from '@dogwoodtrestle/schema';

import {type Refusal} from './refusal.js';

/** Bytes that may be buffered ahead of the fastest reader. */
const maximumUnreadBytes = 262144;

/** State of a response. */
export type ResponseState = 'running' | 'complete' | 'failed';

/** Status code and content type of a response. */
export interface ResponseHead {
  status: number;
  contentType: string;
}

/** A response that grows while any number of readers read it. */
export class ResponseBuffer {
  head?: ResponseHead;
  failure?: Refusal;
  state: ResponseState = 'running';
  private readonly chunks: string[] = [];
  private totalBytes = 0;
  /** Bytes that each reader has consumed. */
  private readonly readers = new Map<symbol, number>();
  private waiting: (() => void)[] = [];
  private readonly abandonListeners: (() => void)[] = [];

  /** Returns a complete buffer that holds a stored response. */
  static fromStored(stored: StoredAnswer): ResponseBuffer {
    const answer = new ResponseBuffer();
    answer.completeWith(stored);
    return answer;
  }

  /** Size of the response so far, in bytes. */
  get bytes(): number {
    return this.totalBytes;
  }

  /** Whether anything has been written. */
  get started(): boolean {
    return this.chunks.length > 0;
  }

  /** Whether any connection is reading the response. */
  get hasReaders(): boolean {
    return this.readers.size > 0;
  }

  /** Sets the head of the response; later calls have no effect. */
  setHead(head: ResponseHead): void {
    this.head ??= head;
    this.notifyWaiters();
  }

  /** Appends a chunk and resolves when the run may write the next one. */
  async push(chunk: string): Promise<void> {
    this.chunks.push(chunk);
    this.totalBytes += Buffer.byteLength(chunk);
    this.notifyWaiters();
    while (
      this.state === 'running' &&
      this.unreadBytes() > maximumUnreadBytes
    ) {
      await this.nextChange();
    }
  }

  /** Marks the response as complete. */
  complete(): void {
    if (this.state !== 'running') return;
    this.state = 'complete';
    this.notifyWaiters();
  }

  /** Writes a whole response at once, so that no reader finds a part of it. */
  completeWith({status, contentType, body}: StoredAnswer): void {
    this.setHead({status, contentType});
    void this.push(body);
    this.complete();
  }

  /** Ends the response with a refusal. */
  fail(failure: Refusal): void {
    if (this.state !== 'running') return;
    this.failure = failure;
    this.state = 'failed';
    this.notifyWaiters();
  }

  /** Resolves once the head is set or the response has ended. */
  async waitForHead(): Promise<void> {
    while (this.head === undefined && this.state === 'running') {
      await this.nextChange();
    }
  }

  /** Calls a listener when the last reader leaves a running response. */
  onAbandoned(listener: () => void): void {
    this.abandonListeners.push(listener);
  }

  /**
   * Yields the response from its start until it has ended.
   *
   * @param signal Stops reading, for example when the connection is closed.
   */
  async *read(signal: AbortSignal): AsyncGenerator<string, void, void> {
    const reader = Symbol('reader');
    this.readers.set(reader, 0);
    const stop = () => this.notifyWaiters();
    signal.addEventListener('abort', stop);
    try {
      let next = 0;
      for (;;) {
        while (next >= this.chunks.length) {
          if (this.state !== 'running' || signal.aborted) return;
          await this.nextChange();
        }
        if (signal.aborted) return;
        const ready = this.chunks.slice(next);
        const readyBytes = this.totalBytes;
        next = this.chunks.length;
        yield ready.join('');
        this.readers.set(reader, readyBytes);
        this.notifyWaiters();
      }
    } finally {
      signal.removeEventListener('abort', stop);
      this.readers.delete(reader);
      this.notifyWaiters();
      if (this.state === 'running' && !this.hasReaders) {
        for (const listener of this.abandonListeners) listener();
      }
    }
  }

  /** Returns the text so far: the whole body if the response is complete. */
  text(): string {
    return this.chunks.join('');
  }

  private unreadBytes(): number {
    if (this.readers.size === 0) return 0;
    return this.totalBytes - Math.max(...this.readers.values());
  }

  private nextChange(): Promise<void> {
    return new Promise(resolve => {
      this.waiting.push(resolve);
    });
  }

  private notifyWaiters(): void {
    const waiting = this.waiting;
    this.waiting = [];
    for (const resolve of waiting) resolve();
  }
}
