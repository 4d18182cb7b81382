/**
 * @fileoverview Requests by key: open, settled, and forgotten.
 *
 * A settled request is kept for the retention, then its key moves to the
 * forgotten keys, by which a late repeat is refused instead of run again.
 */
import {
  type Bill,
  type StoredAnswer,
  type Target,
} from '@dogwoodtrestle/schema';

import {ForgottenKeys} from './forgottenKeys.js';
import {type LedgerOptions} from './ledgerOptions.js';
import {Queue} from './util/queue.js';

/** A request that has been opened and not settled. */
export interface OpenRequestRecord {
  /** Key in the form `customer/workspace/key`. */
  requestKey: string;
  fingerprint: string;
  customer: string;
  workspace: string;
  target: Target;
  /** Reserved amount in micros. */
  maximumCost: number;
  unknownCost: number;
  contractVersion: number;
  inputPrice: number;
  outputPrice: number;
  holder: string;
  /** Where a non-idempotent request went. */
  backend?: string;
  idempotent: boolean;
  traceId: string;
  attempt: number;
  /** Ledger time of the opening. */
  openedAt: number;
}

/** A request that has been billed. */
export interface SettledRequestRecord {
  requestKey: string;
  fingerprint: string;
  holder: string;
  idempotent: boolean;
  bill: Bill;
  answer?: StoredAnswer;
  /** Ledger time of the settlement. */
  billedAt: number;
}

/** A returned grant, kept so that late commands don't take it again. */
export interface ReturnedGrant {
  grantId: string;
  returnedAt: number;
}

/** Requests and returned grants by key, with their retention. */
export class RequestStore {
  readonly open = new Map<string, OpenRequestRecord>();
  readonly settled = new Map<string, SettledRequestRecord>();
  readonly returned = new Map<string, ReturnedGrant>();
  readonly forgotten: ForgottenKeys;
  private readonly settledQueue = new Queue<SettledRequestRecord>();
  private readonly returnedQueue = new Queue<ReturnedGrant>();

  constructor(private readonly options: LedgerOptions) {
    this.forgotten = new ForgottenKeys(
      options.forgottenKeyRetentionMilliseconds,
    );
  }

  addSettled(record: SettledRequestRecord): void {
    // The newest record comes last, as in the queue.
    this.settled.delete(record.requestKey);
    this.settled.set(record.requestKey, record);
    this.settledQueue.push(record);
  }

  addReturned(grant: ReturnedGrant): void {
    this.returned.set(grant.grantId, grant);
    this.returnedQueue.push(grant);
  }

  isForgotten(requestKey: string): boolean {
    return this.forgotten.has(requestKey);
  }

  isReturned(grantId: string): boolean {
    return this.returned.has(grantId) || this.forgotten.has(grantKey(grantId));
  }

  /** Forgets what is past its retention. */
  expire(now: number): void {
    const oldest = now - this.options.requestRetentionMilliseconds;
    for (;;) {
      const record = this.settledQueue.peek();
      if (record === undefined || record.billedAt >= oldest) break;
      this.settledQueue.shift();
      // A request that was opened again has a newer record.
      if (this.settled.get(record.requestKey) !== record) continue;
      this.settled.delete(record.requestKey);
      this.forgotten.add(record.requestKey, now);
    }
    for (;;) {
      const grant = this.returnedQueue.peek();
      if (grant === undefined || grant.returnedAt >= oldest) break;
      this.returnedQueue.shift();
      this.returned.delete(grant.grantId);
      this.forgotten.add(grantKey(grant.grantId), now);
    }
    this.forgotten.expire(now);
  }
}

/** Keeps grant ids apart from request keys, which never start with `:`. */
function grantKey(grantId: string): string {
  return `:grant:${grantId}`;
}
