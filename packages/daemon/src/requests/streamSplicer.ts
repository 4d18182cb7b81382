/**
 * @fileoverview Joins the chunks of several attempts into one response.
 *
 * Each attempt produces the text from its start. The splicer drops the part
 * that the caller has already received, and reports an attempt whose text
 * differs from it.
 */
import {type ChatChunk} from './modelClient.js';

/** Joins streams of chat chunks. */
export class StreamSplicer {
  /** Text that the caller has received. */
  private sent = '';
  /** Part of `sent` that the current attempt has yet to repeat. */
  private pending = '';
  private sentRole = false;
  private sentToolCalls = false;
  private sentFinish = false;

  /** Prepares for the chunks of another attempt. */
  restart(): void {
    this.pending = this.sent;
  }

  /**
   * Returns the part of a chunk that the caller has not received.
   *
   * @returns `undefined` if there is no such part, `'diverged'` if the text of
   *     the attempt differs from what the caller has received.
   */
  splice(chunk: ChatChunk): ChatChunk | 'diverged' | undefined {
    const choice = chunk.choices?.[0];
    if (choice === undefined) return undefined;
    if (choice.finish_reason != null) {
      // Another attempt repeats a finish reason that has been sent already.
      if (this.sentFinish) return this.pending === '' ? undefined : 'diverged';
      this.sentFinish = true;
    }
    const delta = choice.delta ?? {};
    const isRepeating = this.pending.length > 0;
    if (isRepeating && this.sentToolCalls) return 'diverged';
    if (delta.tool_calls !== undefined) this.sentToolCalls = true;
    const content = delta.content ?? '';
    const isRoleChunk =
      delta.role !== undefined &&
      content === '' &&
      choice.finish_reason == null;
    if (isRoleChunk) {
      if (this.sentRole) return undefined;
      this.sentRole = true;
      return chunk;
    }
    if (!isRepeating) {
      this.sent += content;
      return chunk;
    }
    return this.dropRepeated(chunk, content);
  }

  private dropRepeated(
    chunk: ChatChunk,
    content: string,
  ): ChatChunk | 'diverged' | undefined {
    const choice = chunk.choices?.[0];
    const isEnd = choice?.finish_reason != null;
    if (this.pending.startsWith(content)) {
      this.pending = this.pending.slice(content.length);
      if (isEnd && this.pending.length > 0) return 'diverged';
      return isEnd ? withContent(chunk, '') : undefined;
    }
    if (!content.startsWith(this.pending)) return 'diverged';
    const rest = content.slice(this.pending.length);
    this.pending = '';
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
