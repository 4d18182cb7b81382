/** @fileoverview Views of the state for queries. */
import {
  type BudgetView,
  type ChangeView,
  type ContractView,
  type GrantView,
  type WorkspaceView,
} from '@dogwoodtrestle/schema';

import {type Account, availableAmount} from './account.js';
import {type ChangeRecord} from './changeStore.js';
import {changeResult} from './commands/contractCommands.js';
import {type Grant} from './grant.js';
import {type LedgerState} from './ledgerState.js';

/** Returns the view of a customer's balance. */
export function budgetView(state: LedgerState, account: Account): BudgetView {
  const {newest, toppedUp} = account;
  return {
    customer: account.customer,
    currency: newest.contract.budget.currency,
    contractVersion: newest.version,
    retired: newest.retired,
    prepaid: account.inForce.contract.budget.prepaid + toppedUp,
    toppedUp,
    billed: account.billed,
    reserved: account.reserved,
    granted: account.granted,
    available: availableAmount(account),
    openRequests: account.openRequests,
    grants: [...account.grants.values()].map(grant => grantView(state, grant)),
    workspaces: workspaceViews(account),
  };
}

/** Returns the view of a grant. */
export function grantView(state: LedgerState, grant: Grant): GrantView {
  const {grantId, holder, journal, amount, billed} = grant;
  const {contractVersion, until} = grant;
  const expired = until < state.now;
  return {
    grantId,
    holder,
    journal,
    amount,
    billed,
    contractVersion,
    until,
    expired,
  };
}

/** Returns a customer's newest contract, and its change while pending. */
export function contractView(
  state: LedgerState,
  account: Account,
): ContractView {
  const {newest, revision, pending} = account;
  const {contract, version, retired} = newest;
  const view = {contract, version, revision, retired};
  const record =
    pending === undefined
      ? undefined
      : state.changes.records.get(pending.changeId);
  if (record === undefined) return view;
  return {...view, pending: changeResult(state, record)};
}

/** Returns the view of a change. */
export function changeView(record: ChangeRecord): ChangeView {
  const {changeId, customer, operator, kind, state} = record;
  const {version, revision, amount} = record;
  return {
    changeId,
    customer,
    operator,
    kind,
    state,
    version,
    revision,
    ...(amount === undefined ? {} : {amount}),
  };
}

/** Returns the contract's workspaces, and former ones that have sums. */
function workspaceViews(account: Account): WorkspaceView[] {
  const shares = new Map(
    account.newest.contract.workspaces.map(({name, sharePercent}) => [
      name,
      sharePercent,
    ]),
  );
  const names = new Set([...shares.keys(), ...account.workspaces.keys()]);
  return [...names].map(name => {
    const sums = account.workspaces.get(name);
    return {
      name,
      sharePercent: shares.get(name) ?? 0,
      billed: sums?.billed ?? 0,
      reserved: sums?.reserved ?? 0,
    };
  });
}
