/**
 * @fileoverview Answers of running and finished requests, by request key.
 *
 * Finished answers stay until their memory is needed; the least recently
 * finished goes first.
 */
import {type ResponseBuffer} from './responseBuffer.js';

/** Keeps the answers of this instance within a bound of memory. */
export class ResponseStore {
  private readonly answers = new Map<string, ResponseBuffer>();
  private finishedBytes = 0;

  constructor(private readonly maximumBytes: number) {}

  /** Number of answers in progress. */
  get runningCount(): number {
    let count = 0;
    for (const answer of this.answers.values()) {
      if (answer.state === 'running') count++;
    }
    return count;
  }

  find(requestKey: string): ResponseBuffer | undefined {
    return this.answers.get(requestKey);
  }

  /** Adds a running answer. */
  add(requestKey: string, answer: ResponseBuffer): void {
    this.remove(requestKey);
    this.answers.set(requestKey, answer);
  }

  /** Counts an answer that has ended, and makes room for it. */
  finish(requestKey: string): void {
    const answer = this.answers.get(requestKey);
    if (answer === undefined) return;
    if (answer.state === 'failed') {
      this.answers.delete(requestKey);
      return;
    }
    this.answers.delete(requestKey);
    this.answers.set(requestKey, answer); // now the newest
    this.finishedBytes += answer.bytes;
    this.evict();
  }

  private remove(requestKey: string): void {
    const answer = this.answers.get(requestKey);
    if (answer === undefined) return;
    if (answer.state !== 'running') this.finishedBytes -= answer.bytes;
    this.answers.delete(requestKey);
  }

  private evict(): void {
    for (const [key, answer] of this.answers) {
      if (this.finishedBytes <= this.maximumBytes) return;
      if (answer.state !== 'running') this.remove(key);
    }
  }
}
