/**
 * @fileoverview Batches proposed commands into entries, and hands out results.
 */
import {type Entry} from '@dogwoodtrestle/schema';

import {OutcomeUnknown} from './errors.js';
import {type Deferred, deferred} from './util/deferred.js';

/** Commands that one caller proposed, with their JSON texts. */
interface Proposal {
  commands: readonly unknown[];
  texts: string[];
  bytes: number;
  outcome: Deferred<unknown[]>;
}

/** Commands that go into one entry. */
export interface Batch {
  commands: unknown[];
  texts: string[];
}

/** Proposals of one leadership. */
export class ProposalQueue {
  private waiting: Proposal[] = [];
  private readonly appended = new Map<number, Proposal[]>();

  constructor(
    private readonly maxCommands: number,
    private readonly maxBytes: number,
  ) {}

  /** Adds commands and resolves with their results, in order. */
  add(commands: readonly unknown[]): Promise<unknown[]> {
    const texts = commands.map(command => JSON.stringify(command));
    const bytes = texts.reduce((sum, text) => sum + text.length, 0);
    const outcome = deferred<unknown[]>();
    this.waiting.push({commands, texts, bytes, outcome});
    return outcome.promise;
  }

  /** Takes proposals for the entry at an index; undefined when none wait. */
  takeBatch(index: number): Batch | undefined {
    const count = this.countForBatch();
    if (count === 0) return undefined;
    const proposals = this.waiting.splice(0, count);
    this.appended.set(index, proposals);
    return {
      commands: proposals.flatMap(proposal => proposal.commands),
      texts: proposals.flatMap(proposal => proposal.texts),
    };
  }

  /** Hands the results of an applied entry to its callers. */
  resolve(entry: Entry, results: unknown[]): void {
    const proposals = this.appended.get(entry.index) ?? [];
    this.appended.delete(entry.index);
    let offset = 0;
    for (const {commands, outcome} of proposals) {
      outcome.resolve(results.slice(offset, offset + commands.length));
      offset += commands.length;
    }
  }

  /** Rejects all proposals: those not appended yet with the given error. */
  rejectAll(notAppended: Error): void {
    for (const {outcome} of this.waiting) outcome.reject(notAppended);
    const unknown = new OutcomeUnknown(
      'leadership ended before the command was committed',
    );
    for (const proposals of this.appended.values()) {
      for (const {outcome} of proposals) outcome.reject(unknown);
    }
    this.waiting = [];
    this.appended.clear();
  }

  /** At least one proposal, then as many as fit into one entry. */
  private countForBatch(): number {
    let commands = 0;
    let bytes = 0;
    let count = 0;
    for (const proposal of this.waiting) {
      commands += proposal.commands.length;
      bytes += proposal.bytes;
      const fits = commands <= this.maxCommands && bytes <= this.maxBytes;
      if (!fits && count > 0) break;
      count++;
    }
    return count;
  }
}
