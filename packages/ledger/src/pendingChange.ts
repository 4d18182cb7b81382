/**
 * @fileoverview Puts contract versions in force.
 *
 * A new version binds connected requests at once. It is accepted when no
 * grant under an older version that it tightens can still be spent, and when
 * what is held fits its prepaid amount.
 */
import {type ChangeResult, type GrantWait} from '@dogwoodtrestle/schema';

import {type Account, heldOf, type Terms, termsOf} from './account.js';
import {classifyChange} from './changeDirection.js';
import {type ChangeRecord} from './changeBook.js';
import {type Grant} from './grant.js';
import {type LedgerState} from './ledgerState.js';

/** Makes the given terms a customer's newest version. */
export function installTerms(
  state: LedgerState,
  account: Account,
  terms: Terms,
  record: ChangeRecord,
): void {
  supersedePending(state, account, record);
  account.retained.set(account.newest.version, account.newest);
  account.newest = terms;
  const waiting = [...account.grants.values()].filter(
    grant =>
      grant.until >= state.now &&
      isTightening(termsOf(account, grant.contractVersion), terms),
  );
  account.pending = {
    changeId: record.changeId,
    grantIds: waiting.map(({grantId}) => grantId),
  };
  record.state = 'pending';
  for (const {until} of waiting) {
    state.pendingExpiries.push(until + 1, account.customer);
  }
  acceptPending(state, account);
  pruneTerms(state, account);
}

/** Accepts a customer's pending change if nothing stands against it. */
export function acceptPending(state: LedgerState, account: Account): void {
  const {pending} = account;
  if (pending === undefined || !fitsPrepaid(account)) return;
  if (waitingGrants(state, account).length > 0) return;
  const record = state.changes.records.get(pending.changeId);
  if (record !== undefined) record.state = 'accepted';
  account.retained.set(account.inForce.version, account.inForce);
  account.inForce = account.newest;
  account.pending = undefined;
  pruneTerms(state, account);
}

/** Accepts the pending changes whose grants have expired. */
export function acceptExpired(state: LedgerState): void {
  for (;;) {
    const first = state.pendingExpiries.peek();
    if (first === undefined || first.priority > state.now) return;
    state.pendingExpiries.pop();
    const account = state.accounts.get(first.value);
    if (account !== undefined) acceptPending(state, account);
  }
}

/** Drops the versions that no grant was issued under, with their keys. */
export function pruneTerms(state: LedgerState, account: Account): void {
  const used = new Set([account.newest.version, account.inForce.version]);
  const granted = new Set(
    [...account.grants.values()].map(({contractVersion}) => contractVersion),
  );
  const dropped = [...account.retained.values()].filter(
    ({version}) => used.has(version) || !granted.has(version),
  );
  if (dropped.length === 0) return;
  for (const {version} of dropped) account.retained.delete(version);
  const kept = keyHashesOf([
    account.newest,
    account.inForce,
    ...account.retained.values(),
  ]);
  for (const hash of keyHashesOf(dropped)) {
    if (!kept.has(hash)) state.keyHashes.delete(hash);
  }
}

/** Returns the grants that a pending change waits for, with its bound. */
export function describePending(
  state: LedgerState,
  account: Account,
): Pick<ChangeResult, 'waitingFor' | 'until'> {
  const spendable = waitingGrants(state, account);
  // Money held by a grant only comes back by its return, at no known time.
  if (!fitsPrepaid(account)) {
    return {waitingFor: [...account.grants.values()].map(waitOf)};
  }
  const last = Math.max(...spendable.map(({until}) => until));
  return {waitingFor: spendable.map(waitOf), until: last + 1};
}

function waitOf({grantId, holder, until}: Grant): GrantWait {
  return {grantId, holder, until};
}

function waitingGrants(state: LedgerState, account: Account): Grant[] {
  return (account.pending?.grantIds ?? []).flatMap(grantId => {
    const grant = account.grants.get(grantId);
    return grant !== undefined && grant.until >= state.now ? [grant] : [];
  });
}

function fitsPrepaid(account: Account): boolean {
  const prepaid = account.newest.contract.budget.prepaid;
  return heldOf(account) <= prepaid + account.toppedUp;
}

function isTightening(before: Terms, after: Terms): boolean {
  if (after.retired) return true;
  return classifyChange(before.contract, after.contract) === 'tightening';
}

/** Gives up a pending change that a newer one replaces. */
function supersedePending(
  state: LedgerState,
  account: Account,
  successor: ChangeRecord,
): void {
  const {pending} = account;
  if (pending === undefined) return;
  const record = state.changes.records.get(pending.changeId);
  if (record === undefined) return;
  record.state = 'rejected';
  record.findings = [
    {
      path: '/expectedVersion',
      message: `replaced by version ${successor.version} before it was in force everywhere`,
    },
  ];
  record.winner = {
    changeId: successor.changeId,
    operator: successor.operator,
    version: successor.version,
  };
}

function keyHashesOf(terms: Terms[]): Set<string> {
  return new Set(
    terms.flatMap(({contract}) =>
      contract.workspaces.map(({keyHash}) => keyHash),
    ),
  );
}
