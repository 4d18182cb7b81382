/**
 * @fileoverview Batches commands on the leader: one proposal carries all that
 * has queued while the one before was being synced.
 */
import {
  type Command,
  type Result,
  type SubmitReply,
} from '@dogwoodtrestle/schema';

/** What a command queue needs. */
export interface CommandQueueOptions {
  /** Proposes commands to the replicated log; resolves once they are applied. */
  propose(commands: Command[]): Promise<Result[]>;
  /** Turns an error of `propose` into the answer that callers get. */
  replyOf(error: unknown): SubmitReply;
  /** Ledger time in milliseconds. */
  ledgerTime(): number;
  /** Commands that one proposal carries at most. */
  maximumBatch?: number;
}

const defaultOptions = {maximumBatch: 512};

interface Waiting {
  commands: Command[];
  resolve(reply: SubmitReply): void;
}

/** Queue before the replicated log. */
export class CommandQueue {
  private readonly options: Required<CommandQueueOptions>;
  private readonly waiting: Waiting[] = [];
  private draining = false;

  constructor(options: CommandQueueOptions) {
    this.options = {...defaultOptions, ...options};
  }

  /** Resolves with the results of the commands, in their order. */
  submit(commands: Command[]): Promise<SubmitReply> {
    return new Promise(resolve => {
      this.waiting.push({commands, resolve});
      void this.drain();
    });
  }

  private async drain(): Promise<void> {
    if (this.draining) return;
    this.draining = true;
    while (this.waiting.length > 0) await this.proposeBatch(this.takeBatch());
    this.draining = false;
  }

  private takeBatch(): Waiting[] {
    let size = 0;
    let count = 0;
    for (const {commands} of this.waiting) {
      size += commands.length;
      if (count > 0 && size > this.options.maximumBatch) break;
      count++;
    }
    return this.waiting.splice(0, count);
  }

  private async proposeBatch(batch: Waiting[]): Promise<void> {
    const {propose, replyOf, ledgerTime} = this.options;
    try {
      const results = await propose(batch.flatMap(({commands}) => commands));
      let start = 0;
      for (const {commands, resolve} of batch) {
        const end = start + commands.length;
        resolve({
          kind: 'results',
          results: results.slice(start, end),
          ledgerTime: ledgerTime(),
        });
        start = end;
      }
    } catch (error) {
      const reply = replyOf(error);
      for (const {resolve} of batch) resolve(reply);
    }
  }
}
