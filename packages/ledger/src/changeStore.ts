/** @fileoverview Changes by id, kept for their retention. */
import {
  type ChangeResult,
  type ChangeView,
  type ChangeWinner,
  type Finding,
} from '@dogwoodtrestle/schema';

import {Queue} from './util/queue.js';

/** A change that an operator has asked for, with its answer. */
export interface ChangeRecord {
  changeId: string;
  kind: ChangeView['kind'];
  customer: string;
  operator: string;
  /** Digest of the change's contents, to tell a resend from a reused id. */
  digest: string;
  /** Ledger time of the first arrival. */
  changedAt: number;
  state: ChangeResult['state'];
  version: number;
  revision: number;
  amount?: number;
  findings?: Finding[];
  winner?: ChangeWinner;
}

/** Remembered changes in the order of their arrival. */
export class ChangeStore {
  readonly records = new Map<string, ChangeRecord>();
  private readonly queue = new Queue<ChangeRecord>();

  constructor(private readonly retentionMilliseconds: number) {}

  add(record: ChangeRecord): void {
    this.records.set(record.changeId, record);
    this.queue.push(record);
  }

  /** Removes and returns the changes that are past the retention. */
  expire(now: number): ChangeRecord[] {
    const expired: ChangeRecord[] = [];
    const oldest = now - this.retentionMilliseconds;
    for (;;) {
      const record = this.queue.peek();
      if (record === undefined || record.changedAt >= oldest) return expired;
      // A pending change stays until it is known what became of it.
      if (record.state === 'pending') return expired;
      this.queue.shift();
      this.records.delete(record.changeId);
      expired.push(record);
    }
  }

  /** Changes in the order of their arrival. */
  toArray(): ChangeRecord[] {
    return this.queue.toArray();
  }
}
