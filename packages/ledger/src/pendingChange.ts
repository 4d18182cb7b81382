/**
 * @fileoverview Installs contract versions and accepts pending ones.
 *
 * A new version applies to connected requests at once. It is accepted when no
 * grant can be spent under an older version that it restricts, and when the
 * billed, reserved and granted amounts are within its prepaid amount.
 */
import {type ChangeResult, type GrantWait} from '@dogwoodtrestle/schema';

import {
  type Account,
  allocatedAmount,
  type ContractVersion,
  findVersion,
} from './account.js';
import {classifyChange} from './changeDirection.js';
import {type ChangeRecord} from './changeStore.js';
import {type Grant} from './grant.js';
import {type LedgerState} from './ledgerState.js';

/** Makes a contract version the newest of a customer. */
export function installVersion(
  state: LedgerState,
  account: Account,
  newVersion: ContractVersion,
  record: ChangeRecord,
): void {
  supersedePending(state, account, record);
  account.retained.set(account.newest.version, account.newest);
  account.newest = newVersion;
  const blocking = [...account.grants.values()].filter(
    grant =>
      grant.until >= state.now &&
      isTightening(findVersion(account, grant.contractVersion), newVersion),
  );
  account.pending = {
    changeId: record.changeId,
    grantIds: blocking.map(({grantId}) => grantId),
  };
  record.state = 'pending';
  for (const {until} of blocking) {
    state.pendingExpiries.push(until + 1, account.customer);
  }
  acceptPending(state, account);
  pruneVersions(state, account);
}

/** Accepts a customer's pending change unless grants or sums prevent it. */
export function acceptPending(state: LedgerState, account: Account): void {
  const {pending} = account;
  if (pending === undefined || !isWithinPrepaid(account)) return;
  if (blockingGrants(state, account).length > 0) return;
  const record = state.changes.records.get(pending.changeId);
  if (record !== undefined) record.state = 'accepted';
  account.retained.set(account.inForce.version, account.inForce);
  account.inForce = account.newest;
  account.pending = undefined;
  pruneVersions(state, account);
}

/** Accepts the pending changes whose blocking grants have expired. */
export function acceptPendingAfterExpiry(state: LedgerState): void {
  for (;;) {
    const first = state.pendingExpiries.peek();
    if (first === undefined || first.priority > state.now) return;
    state.pendingExpiries.pop();
    const account = state.accounts.get(first.value);
    if (account !== undefined) acceptPending(state, account);
  }
}

/** Removes the versions that no grant refers to, and their key hashes. */
export function pruneVersions(state: LedgerState, account: Account): void {
  const currentVersions = new Set([
    account.newest.version,
    account.inForce.version,
  ]);
  const grantVersions = new Set(
    [...account.grants.values()].map(({contractVersion}) => contractVersion),
  );
  const dropped = [...account.retained.values()].filter(
    ({version}) => currentVersions.has(version) || !grantVersions.has(version),
  );
  if (dropped.length === 0) return;
  for (const {version} of dropped) account.retained.delete(version);
  const keptKeyHashes = collectKeyHashes([
    account.newest,
    account.inForce,
    ...account.retained.values(),
  ]);
  for (const hash of collectKeyHashes(dropped)) {
    if (!keptKeyHashes.has(hash)) state.customersByKeyHash.delete(hash);
  }
}

/**
 * Returns the grants that a pending change waits for, and the ledger time by
 * which it is accepted at the latest, if that is known.
 */
export function describePending(
  state: LedgerState,
  account: Account,
): Pick<ChangeResult, 'waitingFor' | 'until'> {
  const blocking = blockingGrants(state, account);
  // A grant's amount is released only by its return, at an unknown time.
  if (!isWithinPrepaid(account)) {
    return {waitingFor: [...account.grants.values()].map(toGrantWait)};
  }
  const latestDeadline = Math.max(...blocking.map(({until}) => until));
  return {waitingFor: blocking.map(toGrantWait), until: latestDeadline + 1};
}

function toGrantWait({grantId, holder, until}: Grant): GrantWait {
  return {grantId, holder, until};
}

function blockingGrants(state: LedgerState, account: Account): Grant[] {
  return (account.pending?.grantIds ?? []).flatMap(grantId => {
    const grant = account.grants.get(grantId);
    return grant !== undefined && grant.until >= state.now ? [grant] : [];
  });
}

function isWithinPrepaid(account: Account): boolean {
  const prepaid = account.newest.contract.budget.prepaid;
  return allocatedAmount(account) <= prepaid + account.toppedUp;
}

function isTightening(
  before: ContractVersion,
  after: ContractVersion,
): boolean {
  if (after.retired) return true;
  return classifyChange(before.contract, after.contract) === 'tightening';
}

/** Rejects a pending change that is replaced by a newer one. */
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

function collectKeyHashes(versions: ContractVersion[]): Set<string> {
  return new Set(
    versions.flatMap(({contract}) =>
      contract.workspaces.map(({keyHash}) => keyHash),
    ),
  );
}
