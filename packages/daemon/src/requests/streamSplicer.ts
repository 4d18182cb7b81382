/**
 * @fileoverview Joins the chunks of several attempts into one answer.
 *
 * A second attempt starts its text anew. The splicer drops what the caller
 * already has, as long as both texts agree, and says so when they don't.
 */
import {type ChatChunk} from './modelClient.js';

/** Joins streams of chat chunks. */
export class StreamSplicer {
  /** Text that the caller already has. */
  private sent = '';
  /** Part of `sent` that the current attempt has not repeated yet. */
  private expected = '';
  private hasRole = false;
  private hasToolCalls = false;
  private hasFinish = false;

  /** Starts the next attempt's text. */
  restart(): void {
    this.expected = this.sent;
  }

  /**
   * Returns the part of a chunk that the caller lacks.
   *
   * @returns `undefined` if it has all of it, `'diverged'` if the attempt's
   *     text differs from what the caller has.
   */
  splice(chunk: ChatChunk): ChatChunk | 'diverged' | undefined {
    const choice = chunk.choices?.[0];
    if (choice === undefined) return undefined;
    if (choice.finish_reason != null) {
      // A later attempt repeats the end if that had been sent before.
      if (this.hasFinish) return this.expected === '' ? undefined : 'diverged';
      this.hasFinish = true;
    }
    const delta = choice.delta ?? {};
    const isRepeating = this.expected.length > 0;
    if (isRepeating && this.hasToolCalls) return 'diverged';
    if (delta.tool_calls !== undefined) this.hasToolCalls = true;
    const content = delta.content ?? '';
    const isOpening =
      delta.role !== undefined &&
      content === '' &&
      choice.finish_reason == null;
    if (isOpening) {
      if (this.hasRole) return undefined;
      this.hasRole = true;
      return chunk;
    }
    if (!isRepeating) {
      this.sent += content;
      return chunk;
    }
    return this.skip(chunk, content);
  }

  private skip(
    chunk: ChatChunk,
    content: string,
  ): ChatChunk | 'diverged' | undefined {
    const choice = chunk.choices?.[0];
    const isEnd = choice?.finish_reason != null;
    if (this.expected.startsWith(content)) {
      this.expected = this.expected.slice(content.length);
      if (isEnd && this.expected.length > 0) return 'diverged';
      return isEnd ? withContent(chunk, '') : undefined;
    }
    if (!content.startsWith(this.expected)) return 'diverged';
    const rest = content.slice(this.expected.length);
    this.expected = '';
    this.sent += rest;
    return withContent(chunk, rest);
  }
}

function withContent(chunk: ChatChunk, content: string): ChatChunk {
  const [choice, ...others] = chunk.choices ?? [];
  return {
    ...chunk,
    choices: [{...choice, delta: {...choice?.delta, content}}, ...others],
  };
}
