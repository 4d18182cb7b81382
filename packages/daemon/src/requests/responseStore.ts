/**
 * @fileoverview Stores the responses of running and finished requests by
 * request key.
 *
 * Finished responses are kept until the memory bound is exceeded; the least
 * recently finished one is evicted first.
 */
import {type ResponseBuffer} from './responseBuffer.js';

/** Keeps the responses of this instance within a memory bound. */
export class ResponseStore {
  private readonly answers = new Map<string, ResponseBuffer>();
  private finishedBytes = 0;

  constructor(private readonly maximumBytes: number) {}

  /** Number of responses in progress. */
  get runningCount(): number {
    let count = 0;
    for (const answer of this.answers.values()) {
      if (answer.state === 'running') count++;
    }
    return count;
  }

  /** Returns the response of a request, running or finished. */
  find(requestKey: string): ResponseBuffer | undefined {
    return this.answers.get(requestKey);
  }

  /** Adds a running response, in place of any earlier one for the key. */
  add(requestKey: string, answer: ResponseBuffer): void {
    this.remove(requestKey);
    this.answers.set(requestKey, answer);
  }

  /**
   * Counts a response that has ended towards the memory bound and evicts older
   * ones. A failed response is removed.
   */
  finish(requestKey: string): void {
    const answer = this.answers.get(requestKey);
    if (answer === undefined) return;
    if (answer.state === 'failed') {
      this.answers.delete(requestKey);
      return;
    }
    this.answers.delete(requestKey);
    this.answers.set(requestKey, answer); // moves it to the end
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
