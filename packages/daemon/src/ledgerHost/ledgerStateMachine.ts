/**
 * @fileoverview Lets the replicated log drive the ledger.
 */
import {type StateMachine} from '@dogwoodtrestle/consensus';
import {type Ledger} from '@dogwoodtrestle/ledger';
import {
  type Bill,
  type Command,
  type Entry,
  type Result,
} from '@dogwoodtrestle/schema';

import {type Clock} from '@dogwoodtrestle/runtime';

/** Snapshot of the ledger with its position in the log. */
export interface LedgerSnapshotFile {
  /** Index of the newest applied entry with commands. */
  index: number;
  ledger: unknown;
}

/** What the state machine needs. */
export interface LedgerStateMachineOptions {
  ledger: Ledger;
  clock: Clock;
  /** Takes the bills of one applied entry. */
  onBills: (bills: Bill[]) => void;
  /** Makes all bills up to a log index durable. */
  syncBills: (index: number) => void;
  /** Called when the state has been replaced by a snapshot. */
  onRestore: (index: number) => void;
}

/** Applies log entries to the ledger. */
export class LedgerStateMachine implements StateMachine {
  private index = 0;
  private appliedAt = 0;

  constructor(private readonly options: LedgerStateMachineOptions) {}

  /** Log index of the newest applied entry with commands. */
  get appliedIndex(): number {
    return this.index;
  }

  /** Ledger time of the newest applied entry, in milliseconds. */
  get ledgerTime(): number {
    return this.options.ledger.now;
  }

  /** Ledger time by this process's clock; never ahead of the leader's. */
  get estimatedLedgerTime(): number {
    return this.ledgerTime + this.options.clock.now() - this.appliedAt;
  }

  apply(entry: Entry): Result[] {
    const {ledger, clock, onBills} = this.options;
    const {index, timestamp} = entry;
    const commands = (entry.commands ?? []) as Command[];
    const results = commands.map(command =>
      ledger.apply(command, {index, timestamp}),
    );
    this.index = index;
    this.appliedAt = clock.now();
    onBills(ledger.takeBills());
    return results;
  }

  snapshot(): LedgerSnapshotFile {
    // Bills are made again only from the snapshot on.
    this.options.syncBills(this.index);
    return {index: this.index, ledger: this.options.ledger.snapshot()};
  }

  restore(snapshot: unknown): void {
    const {index, ledger} = snapshot as LedgerSnapshotFile;
    this.options.ledger.restore(ledger as never);
    this.index = index;
    this.options.onRestore(index);
  }
}
