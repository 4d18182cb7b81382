/** @fileoverview The whole state that commands act on. */
import {type Bill} from '@dogwoodtrestle/schema';

import {type Account} from './account.js';
import {ChangeStore} from './changeStore.js';
import {type Grant} from './grant.js';
import {type LedgerOptions} from './ledgerOptions.js';
import {RequestStore} from './requestStore.js';
import {RevisionIndex} from './revisionIndex.js';
import {MinHeap} from './util/minHeap.js';

/** Lease of the instance that may give orders to backend servers. */
export interface IssuerLease {
  issuer: string;
  fencingNumber: number;
  /** Ledger time after which the lease is free. */
  until: number;
}

/** State of the ledger. */
export interface LedgerState {
  options: LedgerOptions;
  /** Ledger time of the newest command. */
  now: number;
  /** Log index of the newest command. */
  index: number;
  /** Number of contract changes so far. */
  revision: number;
  accounts: Map<string, Account>;
  /** Customer of each workspace key hash. */
  keyHashes: Map<string, string>;
  grants: Map<string, Grant>;
  requests: RequestStore;
  changes: ChangeStore;
  revisions: RevisionIndex;
  /** Customers with a pending change, by when a grant it waits for expires. */
  pendingExpiries: MinHeap<string>;
  issuerLease?: IssuerLease;
  /** Bills that the host has not taken yet; not part of snapshots. */
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
    keyHashes: new Map(),
    grants: new Map(),
    requests: new RequestStore(options),
    changes: new ChangeStore(options.changeRetentionMilliseconds),
    revisions: new RevisionIndex(),
    pendingExpiries: new MinHeap(),
    bills: [],
  };
}
