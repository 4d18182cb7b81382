/** @fileoverview Operator changes by id, kept for the retention time. */
import {
  type ChangeResult,
  type ChangeView,
  type ChangeWinner,
  type Finding,
} from '@dogwoodtrestle/schema';

import {Queue} from './util/queue.js';

/** Change requested by an operator, with its result. */
export interface ChangeRecord {
  changeId: string;
  kind: ChangeView['kind'];
  customer: string;
  operator: string;
  /** Content digest of the command, to tell a resend from a reused id. */
  digest: string;
  /** Ledger time at which the change was first applied. */
  changedAt: number;
  state: ChangeResult['state'];
  version: number;
  revision: number;
  amount?: number;
  findings?: Finding[];
  winner?: ChangeWinner;
}

/** Changes within the retention, in the order in which they were applied. */
export class ChangeStore {
  readonly records = new Map<string, ChangeRecord>();
  private readonly queue = new Queue<ChangeRecord>();

  constructor(private readonly retentionMilliseconds: number) {}

  /** Adds a change that is newer than all others. */
  add(record: ChangeRecord): void {
    this.records.set(record.changeId, record);
    this.queue.push(record);
  }

  /** Removes and returns the changes whose retention has ended. */
  expire(now: number): ChangeRecord[] {
    const expired: ChangeRecord[] = [];
    const oldest = now - this.retentionMilliseconds;
    for (;;) {
      const record = this.queue.peek();
      if (record === undefined || record.changedAt >= oldest) return expired;
      // A pending change is kept until it is accepted or rejected.
      if (record.state === 'pending') return expired;
      this.queue.shift();
      this.records.delete(record.changeId);
      expired.push(record);
    }
  }

  /** Returns the changes in the order in which they were applied. */
  toArray(): ChangeRecord[] {
    return this.queue.toArray();
  }
}
