/**
 * @fileoverview One attempt of a model server: tokens are produced over time,
 * and any number of streams may read them.
 */
import {setTimeout as sleep} from 'node:timers/promises';

/** State of an attempt. */
export type GenerationState = 'running' | 'finished' | 'cancelled';

/** Produces the tokens of one attempt. */
export class Generation {
  state: GenerationState = 'running';
  /** Number of tokens produced so far. */
  produced = 0;
  private pendingReaders: Array<() => void> = [];

  constructor(
    readonly attempt: string,
    readonly tokens: readonly string[],
    readonly promptTokens: number,
    readonly finishReason: 'stop' | 'length',
  ) {}

  /** Produces one token after each delay until finished or cancelled. */
  async run(delayMilliseconds: () => number): Promise<void> {
    while (this.state === 'running' && this.produced < this.tokens.length) {
      await sleep(delayMilliseconds());
      if (this.state !== 'running') return;
      this.produced++;
      this.notifyReaders();
    }
    if (this.state === 'running') this.state = 'finished';
    this.notifyReaders();
  }

  /** Stops producing tokens; those already produced still count as usage. */
  cancel(): void {
    if (this.state !== 'running') return;
    this.state = 'cancelled';
    this.notifyReaders();
  }

  /** Yields the tokens after the first `after`, waiting for further ones. */
  async *follow(after: number): AsyncGenerator<string> {
    for (let next = after; ; next++) {
      while (next >= this.produced && this.state === 'running') {
        await new Promise<void>(resolve => this.pendingReaders.push(resolve));
      }
      const token = this.tokens[next];
      if (next >= this.produced || token === undefined) return;
      yield token;
    }
  }

  /**
   * Returns the usage so far, in the format of the chat completions API.
   *
   * @param factor Multiplies the completion tokens, to report too many.
   */
  usage(factor = 1): {
    prompt_tokens: number;
    completion_tokens: number;
    total_tokens: number;
  } {
    const completionTokens = this.produced * factor;
    return {
      prompt_tokens: this.promptTokens,
      completion_tokens: completionTokens,
      total_tokens: this.promptTokens + completionTokens,
    };
  }

  private notifyReaders(): void {
    const readers = this.pendingReaders;
    this.pendingReaders = [];
    for (const resolve of readers) resolve();
  }
}
