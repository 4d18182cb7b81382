/**
 * @fileoverview State machine that applies the replicated log to the ledger.
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

/** Ledger snapshot and its position in the log. */
export interface LedgerSnapshotFile {
  /** Index of the newest applied entry with commands. */
  index: number;
  ledger: unknown;
}

/** Options of the state machine. */
export interface LedgerStateMachineOptions {
  ledger: Ledger;
  clock: Clock;
  /** Receives the bills of one applied entry. */
  onBills: (bills: Bill[]) => void;
  /** Makes all bills through a log index durable. */
  syncBills: (index: number) => void;
  /** Called after a snapshot has replaced the state. */
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

  /** Ledger time estimated by this process's clock; never ahead of the leader. */
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
    // A restarted replica produces only the bills after the snapshot again.
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
