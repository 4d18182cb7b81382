/**
 * @fileoverview Open, settled and forgotten requests by key.
 *
 * A settled request is kept for the retention time. Its key is then added to
 * the forgotten keys, so that a late retry is refused instead of run again.
 */
import {
  type Bill,
  type StoredAnswer,
  type Target,
} from '@dogwoodtrestle/schema';

import {ForgottenKeys} from './forgottenKeys.js';
import {type LedgerOptions} from './ledgerOptions.js';
import {Queue} from './util/queue.js';

/** Request that has been opened and not settled. */
export interface OpenRequestRecord {
  /** Key in the form `customer/workspace/key`. */
  requestKey: string;
  fingerprint: string;
  customer: string;
  workspace: string;
  target: Target;
  /** Reserved amount in micros. */
  maximumCost: number;
  /** Amount in micros that is billed if the outcome stays unknown. */
  unknownCost: number;
  contractVersion: number;
  inputPrice: number;
  outputPrice: number;
  holder: string;
  /** Backend server that a non-idempotent request was sent to. */
  backend?: string;
  idempotent: boolean;
  traceId: string;
  attempt: number;
  /** Ledger time at which the request was opened. */
  openedAt: number;
}

/** Request that has been billed. */
export interface SettledRequestRecord {
  requestKey: string;
  fingerprint: string;
  holder: string;
  idempotent: boolean;
  bill: Bill;
  answer?: StoredAnswer;
  /** Ledger time at which the request was settled. */
  billedAt: number;
}

/** Returned grant, kept so that a late command doesn't issue it again. */
export interface ReturnedGrant {
  grantId: string;
  returnedAt: number;
}

/** Stores requests and returned grants for their retention time. */
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
    // Reinserts the key so that the map has the order of the queue.
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

  /** Returns whether a grant was returned, even if its record was removed. */
  isReturned(grantId: string): boolean {
    return this.returned.has(grantId) || this.forgotten.has(grantKey(grantId));
  }

  /** Removes the records and forgotten keys whose retention has ended. */
  expire(now: number): void {
    const oldest = now - this.options.requestRetentionMilliseconds;
    for (;;) {
      const record = this.settledQueue.peek();
      if (record === undefined || record.billedAt >= oldest) break;
      this.settledQueue.shift();
      // A request that was settled again has a newer record.
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

/** Distinguishes grant ids from request keys, which never start with `:`. */
function grantKey(grantId: string): string {
  return `:grant:${grantId}`;
}
