/**
 * @fileoverview Batches proposed commands into entries and resolves proposals
 * with their results.
 */
import {type Entry} from '@dogwoodtrestle/schema';

import {OutcomeUnknown} from './errors.js';
import {type Deferred, deferred} from './util/deferred.js';

/** Commands proposed in one call, with their JSON texts. */
interface Proposal {
  commands: readonly unknown[];
  texts: string[];
  bytes: number;
  outcome: Deferred<unknown[]>;
}

/** Commands of one entry, with their JSON texts. */
export interface Batch {
  commands: unknown[];
  texts: string[];
}

/** Proposals of one leadership. */
export class ProposalQueue {
  private queuedProposals: Proposal[] = [];
  private readonly appendedProposals = new Map<number, Proposal[]>();

  constructor(
    private readonly maxCommands: number,
    private readonly maxBytes: number,
  ) {}

  /** Queues commands; resolves with their results, in order. */
  add(commands: readonly unknown[]): Promise<unknown[]> {
    const texts = commands.map(command => JSON.stringify(command));
    const bytes = texts.reduce((sum, text) => sum + text.length, 0);
    const outcome = deferred<unknown[]>();
    this.queuedProposals.push({commands, texts, bytes, outcome});
    return outcome.promise;
  }

  /**
   * Dequeues a batch for the entry at an index; undefined if none is queued.
   */
  takeBatch(index: number): Batch | undefined {
    const count = this.nextBatchSize();
    if (count === 0) return undefined;
    const proposals = this.queuedProposals.splice(0, count);
    this.appendedProposals.set(index, proposals);
    return {
      commands: proposals.flatMap(proposal => proposal.commands),
      texts: proposals.flatMap(proposal => proposal.texts),
    };
  }

  /**
   * Resolves the proposals of an applied entry with their results, or rejects
   * those of which a command failed.
   */
  resolve(entry: Entry, results: unknown[]): void {
    const proposals = this.appendedProposals.get(entry.index) ?? [];
    this.appendedProposals.delete(entry.index);
    let offset = 0;
    for (const {commands, outcome} of proposals) {
      const own = results.slice(offset, offset + commands.length);
      offset += commands.length;
      const failure = own.find(result => result instanceof Error);
      if (failure === undefined) outcome.resolve(own);
      else outcome.reject(failure);
    }
  }

  /**
   * Rejects queued proposals with the given error and appended ones with
   * `OutcomeUnknown`.
   */
  rejectAll(notAppended: Error): void {
    for (const {outcome} of this.queuedProposals) outcome.reject(notAppended);
    const error = new OutcomeUnknown(
      'leadership ended before the command was committed',
    );
    for (const proposals of this.appendedProposals.values()) {
      for (const {outcome} of proposals) outcome.reject(error);
    }
    this.queuedProposals = [];
    this.appendedProposals.clear();
  }

  /**
   * Number of proposals that fit into one entry; at least one if any is queued.
   */
  private nextBatchSize(): number {
    let commands = 0;
    let bytes = 0;
    let count = 0;
    for (const proposal of this.queuedProposals) {
      commands += proposal.commands.length;
      bytes += proposal.bytes;
      const fits = commands <= this.maxCommands && bytes <= this.maxBytes;
      if (!fits && count > 0) break;
      count++;
    }
    return count;
  }
}
