/**
 * @fileoverview The answer of one request while it is produced.
 *
 * The run of a request writes into the buffer, and any number of connections
 * read from it, each from the start and at its own pace. So a caller's retry
 * can join a running request. The run waits for its fastest reader, which
 * keeps a slow reader from growing memory.
 */
import {type StoredAnswer} from '@dogwoodtrestle/schema';

import {type Refusal} from './refusal.js';

/** Bytes that may lie before the fastest reader. */
const maximumLeadBytes = 262144;

/** State of the answer. */
export type ResponseState = 'running' | 'complete' | 'failed';

/** Status line and type of an answer. */
export interface ResponseHead {
  status: number;
  contentType: string;
}

/** A growing answer with many readers. */
export class ResponseBuffer {
  head?: ResponseHead;
  failure?: Refusal;
  state: ResponseState = 'running';
  private readonly pieces: string[] = [];
  private totalBytes = 0;
  /** Bytes that each reader has consumed. */
  private readonly readers = new Map<symbol, number>();
  private waiting: (() => void)[] = [];
  private readonly abandonListeners: (() => void)[] = [];

  /** Returns the answer of a request that has finished elsewhere. */
  static fromStored({status, contentType, body}: StoredAnswer): ResponseBuffer {
    const answer = new ResponseBuffer();
    answer.setHead({status, contentType});
    void answer.push(body);
    answer.complete();
    return answer;
  }

  /** Size of the answer so far. */
  get bytes(): number {
    return this.totalBytes;
  }

  /** Whether anything has been written. */
  get started(): boolean {
    return this.pieces.length > 0;
  }

  /** Whether a connection reads the answer. */
  get hasReaders(): boolean {
    return this.readers.size > 0;
  }

  /** Sets the head of the answer, once. */
  setHead(head: ResponseHead): void {
    this.head ??= head;
    this.wake();
  }

  /** Appends a piece and resolves when the run may go on. */
  async push(piece: string): Promise<void> {
    this.pieces.push(piece);
    this.totalBytes += Buffer.byteLength(piece);
    this.wake();
    while (this.state === 'running' && this.lead() > maximumLeadBytes) {
      await this.changed();
    }
  }

  /** Marks the answer as whole. */
  complete(): void {
    if (this.state !== 'running') return;
    this.state = 'complete';
    this.wake();
  }

  /** Ends the answer with a refusal. */
  fail(failure: Refusal): void {
    if (this.state !== 'running') return;
    this.failure = failure;
    this.state = 'failed';
    this.wake();
  }

  /** Resolves once the head is known or the answer has ended. */
  async waitForHead(): Promise<void> {
    while (this.head === undefined && this.state === 'running') {
      await this.changed();
    }
  }

  /** Calls back when the last reader leaves a running answer. */
  onAbandoned(listener: () => void): void {
    this.abandonListeners.push(listener);
  }

  /**
   * Yields all pieces from the start until the answer has ended.
   *
   * @param signal Ends the reading, as when the connection is closed.
   */
  async *read(signal: AbortSignal): AsyncGenerator<string, void, void> {
    const reader = Symbol('reader');
    this.readers.set(reader, 0);
    const stop = () => this.wake();
    signal.addEventListener('abort', stop);
    try {
      let next = 0;
      for (;;) {
        while (next >= this.pieces.length) {
          if (this.state !== 'running' || signal.aborted) return;
          await this.changed();
        }
        if (signal.aborted) return;
        const ready = this.pieces.slice(next);
        const readyBytes = this.totalBytes;
        next = this.pieces.length;
        yield ready.join('');
        this.readers.set(reader, readyBytes);
        this.wake();
      }
    } finally {
      signal.removeEventListener('abort', stop);
      this.readers.delete(reader);
      this.wake();
      if (this.state === 'running' && !this.hasReaders) {
        for (const listener of this.abandonListeners) listener();
      }
    }
  }

  /** The whole text; meaningful once the answer is complete. */
  text(): string {
    return this.pieces.join('');
  }

  private lead(): number {
    if (this.readers.size === 0) return 0;
    return this.totalBytes - Math.max(...this.readers.values());
  }

  private changed(): Promise<void> {
    return new Promise(resolve => {
      this.waiting.push(resolve);
    });
  }

  private wake(): void {
    const waiting = this.waiting;
    this.waiting = [];
    for (const resolve of waiting) resolve();
  }
}
