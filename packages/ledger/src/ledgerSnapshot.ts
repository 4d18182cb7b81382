/**
 * @fileoverview Snapshots of the ledger state as JSON values.
 *
 * Records that commands modify are copied, so that a snapshot can be written
 * while further commands are applied. Indexes are not included; they are
 * rebuilt from the records.
 */
import {type Account, type WorkspaceSums} from './account.js';
import {type ChangeRecord} from './changeStore.js';
import {type ForgottenKeysSnapshot} from './forgottenKeys.js';
import {type Grant} from './grant.js';
import {type LedgerOptions} from './ledgerOptions.js';
import {
  createState,
  type IssuerLease,
  type LedgerState,
} from './ledgerState.js';
import {
  type OpenRequestRecord,
  type ReturnedGrant,
  type SettledRequestRecord,
} from './requestStore.js';

/** Account as a JSON value. */
export type AccountSnapshot = Omit<
  Account,
  | 'inForce'
  | 'retained'
  | 'grants'
  | 'workspaces'
  | 'changeIds'
  | 'versionChanges'
> & {
  /** Omitted if the newest version is in force. */
  inForce?: Account['newest'];
  retained: Array<Account['newest']>;
  workspaces: Array<WorkspaceSums & {name: string}>;
  versionChanges: Array<{version: number; changeId: string}>;
};

/** Grant as a JSON value. */
export type GrantSnapshot = Omit<Grant, 'mergedBeyond' | 'allowances'> & {
  mergedBeyond: number[];
  allowances: Array<{workspace: string; amount: number}>;
};

/** Ledger state as a JSON value. */
export interface LedgerSnapshot {
  now: number;
  index: number;
  revision: number;
  accounts: AccountSnapshot[];
  grants: GrantSnapshot[];
  openRequests: OpenRequestRecord[];
  settledRequests: SettledRequestRecord[];
  returnedGrants: ReturnedGrant[];
  forgottenKeys: ForgottenKeysSnapshot;
  changes: ChangeRecord[];
  issuerLease?: IssuerLease;
}

/** Returns the state as a JSON value. */
export function takeSnapshot(state: LedgerState): LedgerSnapshot {
  const {requests} = state;
  return {
    now: state.now,
    index: state.index,
    revision: state.revision,
    accounts: [...state.accounts.values()].map(accountSnapshot),
    grants: [...state.grants.values()].map(grantSnapshot),
    openRequests: [...requests.open.values()].map(record => ({...record})),
    settledRequests: [...requests.settled.values()],
    returnedGrants: [...requests.returned.values()],
    forgottenKeys: requests.forgotten.snapshot(),
    changes: state.changes.toArray().map(record => ({...record})),
    ...(state.issuerLease === undefined
      ? {}
      : {issuerLease: {...state.issuerLease}}),
  };
}

/** Returns the state of a snapshot. */
export function restoreSnapshot(
  options: LedgerOptions,
  snapshot: LedgerSnapshot,
): LedgerState {
  const state = createState(options);
  state.now = snapshot.now;
  state.index = snapshot.index;
  state.revision = snapshot.revision;
  if (snapshot.issuerLease !== undefined) {
    state.issuerLease = {...snapshot.issuerLease};
  }
  for (const account of snapshot.accounts) restoreAccount(state, account);
  for (const grant of snapshot.grants) restoreGrant(state, grant);
  for (const change of snapshot.changes) restoreChange(state, change);
  restoreRequests(state, snapshot);
  restoreIndexes(state);
  return state;
}

function accountSnapshot(account: Account): AccountSnapshot {
  return {
    customer: account.customer,
    newest: account.newest,
    ...(account.inForce === account.newest ? {} : {inForce: account.inForce}),
    revision: account.revision,
    ...(account.pending === undefined ? {} : {pending: account.pending}),
    toppedUp: account.toppedUp,
    billed: account.billed,
    reserved: account.reserved,
    granted: account.granted,
    openRequests: account.openRequests,
    rateUsedUntil: account.rateUsedUntil,
    retained: [...account.retained.values()],
    workspaces: [...account.workspaces].map(([name, sums]) => ({
      name,
      ...sums,
    })),
    versionChanges: [...account.versionChanges].map(([version, changeId]) => ({
      version,
      changeId,
    })),
  };
}

function grantSnapshot(grant: Grant): GrantSnapshot {
  return {
    ...grant,
    mergedBeyond: [...grant.mergedBeyond].sort((a, b) => a - b),
    allowances: [...grant.allowances].map(([workspace, amount]) => ({
      workspace,
      amount,
    })),
  };
}

function restoreAccount(state: LedgerState, snapshot: AccountSnapshot): void {
  const account: Account = {
    ...snapshot,
    inForce: snapshot.inForce ?? snapshot.newest,
    retained: new Map(snapshot.retained.map(entry => [entry.version, entry])),
    grants: new Map(),
    workspaces: new Map(
      snapshot.workspaces.map(({name, ...sums}) => [name, sums]),
    ),
    changeIds: [],
    versionChanges: new Map(
      snapshot.versionChanges.map(({version, changeId}) => [version, changeId]),
    ),
  };
  state.accounts.set(account.customer, account);
}

function restoreGrant(state: LedgerState, snapshot: GrantSnapshot): void {
  const grant: Grant = {
    ...snapshot,
    mergedBeyond: new Set(snapshot.mergedBeyond),
    allowances: new Map(
      snapshot.allowances.map(({workspace, amount}) => [workspace, amount]),
    ),
  };
  state.grants.set(grant.grantId, grant);
  state.accounts.get(grant.customer)?.grants.set(grant.grantId, grant);
}

function restoreChange(state: LedgerState, change: ChangeRecord): void {
  state.changes.add({...change});
  // Changes before the customer's first contract have version 0.
  if (change.version === 0) return;
  state.accounts.get(change.customer)?.changeIds.push(change.changeId);
}

function restoreRequests(state: LedgerState, snapshot: LedgerSnapshot): void {
  const {requests} = state;
  for (const record of snapshot.openRequests) {
    requests.open.set(record.requestKey, {...record});
  }
  for (const record of snapshot.settledRequests) requests.addSettled(record);
  for (const grant of snapshot.returnedGrants) requests.addReturned(grant);
  requests.forgotten.restore(snapshot.forgottenKeys);
}

/** Rebuilds the indexes that are derived from the accounts. */
function restoreIndexes(state: LedgerState): void {
  const accounts = [...state.accounts.values()];
  accounts.sort((a, b) => a.revision - b.revision);
  for (const account of accounts) {
    const {customer} = account;
    state.revisions.set(customer, account.revision);
    const allVersions = [
      account.newest,
      account.inForce,
      ...account.retained.values(),
    ];
    for (const {contract} of allVersions) {
      for (const {keyHash} of contract.workspaces) {
        state.customersByKeyHash.set(keyHash, customer);
      }
    }
    for (const grantId of account.pending?.grantIds ?? []) {
      const grant = account.grants.get(grantId);
      if (grant !== undefined) {
        state.pendingExpiries.push(grant.until + 1, customer);
      }
    }
  }
}
