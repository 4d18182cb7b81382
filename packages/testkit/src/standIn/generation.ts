/**
 * @fileoverview One running or finished attempt of a model server: tokens
 * appear over time, and any number of streams may follow it.
 */
import {setTimeout as sleep} from 'node:timers/promises';

/** How an attempt stands. */
export type GenerationState = 'running' | 'finished' | 'cancelled';

/** Tokens of one attempt as they appear. */
export class Generation {
  state: GenerationState = 'running';
  /** Number of tokens that have appeared. */
  produced = 0;
  private waiters: Array<() => void> = [];

  constructor(
    readonly attempt: string,
    readonly tokens: readonly string[],
    readonly promptTokens: number,
    readonly finishReason: 'stop' | 'length',
  ) {}

  /** Produces the tokens, one after each delay, until finished or cancelled. */
  async run(delayMilliseconds: () => number): Promise<void> {
    while (this.state === 'running' && this.produced < this.tokens.length) {
      await sleep(delayMilliseconds());
      if (this.state !== 'running') return;
      this.produced++;
      this.wake();
    }
    if (this.state === 'running') this.state = 'finished';
    this.wake();
  }

  /** Stops the production; what was produced stays billed. */
  cancel(): void {
    if (this.state !== 'running') return;
    this.state = 'cancelled';
    this.wake();
  }

  /** Yields the tokens after the first `after`, waiting for those to come. */
  async *follow(after: number): AsyncGenerator<string> {
    for (let next = after; ; next++) {
      while (next >= this.produced && this.state === 'running') {
        await new Promise<void>(resolve => this.waiters.push(resolve));
      }
      const token = this.tokens[next];
      if (next >= this.produced || token === undefined) return;
      yield token;
    }
  }

  /** Tokens used so far, in the shape of the protocol. */
  usage(factor = 1): {
    prompt_tokens: number;
    completion_tokens: number;
    total_tokens: number;
  } {
    const completion = this.produced * factor;
    return {
      prompt_tokens: this.promptTokens,
      completion_tokens: completion,
      total_tokens: this.promptTokens + completion,
    };
  }

  private wake(): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const resolve of waiters) resolve();
  }
}
