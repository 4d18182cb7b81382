/** @fileoverview State of the ledger, which commands modify. */
import {type Bill} from '@dogwoodtrestle/schema';

import {type Account} from './account.js';
import {ChangeStore} from './changeStore.js';
import {type Grant} from './grant.js';
import {type LedgerOptions} from './ledgerOptions.js';
import {RequestStore} from './requestStore.js';
import {RevisionIndex} from './revisionIndex.js';
import {MinHeap} from './util/minHeap.js';

/** Lease of the instance that may issue orders to backend servers. */
export interface IssuerLease {
  issuer: string;
  fencingNumber: number;
  /** Ledger time after which another instance may claim the lease. */
  until: number;
}

/** State of the ledger. */
export interface LedgerState {
  options: LedgerOptions;
  /** Ledger time of the newest command. */
  now: number;
  /** Log index of the newest command. */
  index: number;
  /** Number of contract versions created so far, over all customers. */
  revision: number;
  accounts: Map<string, Account>;
  /** Customers by the key hashes of their workspaces. */
  customersByKeyHash: Map<string, string>;
  grants: Map<string, Grant>;
  requests: RequestStore;
  changes: ChangeStore;
  revisions: RevisionIndex;
  /** Customers with pending changes, by the expiry of a blocking grant. */
  pendingExpiries: MinHeap<string>;
  issuerLease?: IssuerLease;
  /** Bills not yet taken by the host; not included in snapshots. */
  bills: Bill[];
}

/** Returns an empty state. */
export function createState(options: LedgerOptions): LedgerState {
  return {
    options,
    now: 0,
    index: 0,
    revision: 0,
    accounts: new Map(),
    customersByKeyHash: new Map(),
    grants: new Map(),
    requests: new RequestStore(options),
    changes: new ChangeStore(options.changeRetentionMilliseconds),
    revisions: new RevisionIndex(),
    pendingExpiries: new MinHeap(),
    bills: [],
  };
}
