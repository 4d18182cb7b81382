/** @fileoverview Commands that issue, renew, merge and return grants. */
import {
  type Bill,
  type GrantResult,
  type JournalRecord,
  type JournalSettlement,
  type MergedResult,
  type MergeJournal,
  type RefusedResult,
  type ReturnGrant,
  type TakeGrant,
  type WorkspaceAllowance,
} from '@dogwoodtrestle/schema';

import {
  type Account,
  availableAmount,
  availableShare,
  getOrCreateSums,
  findVersion,
} from '../account.js';
import {type Grant, isMerged, markMerged, remainingAmount} from '../grant.js';
import {type LedgerState} from '../ledgerState.js';
import {pruneVersions} from '../pendingChange.js';
import {percentOf} from '../util/percentOf.js';
import {scopedKey} from '../util/scopedKey.js';
import {
  capCost,
  closeOpenRequest,
  isUnbilledFailure,
  findPrices,
  recordBill,
  refuse,
} from './requestCommands.js';

const millisecondsPerSecond = 1000;
const fullSharePercent = 100;

/** Issues a grant, or extends the deadline of an existing one. */
export function takeGrant(
  state: LedgerState,
  command: TakeGrant,
): GrantResult | RefusedResult {
  const account = state.accounts.get(command.customer);
  if (account === undefined) return refuse('unknownCustomer');
  const known = state.grants.get(command.grantId);
  const belongsToOther =
    known !== undefined && known.customer !== command.customer;
  if (belongsToOther || state.requests.isReturned(command.grantId)) {
    return refuse('unknownGrant');
  }
  const {newest} = account;
  const contractVersion = newest.version;
  if (newest.retired) return {...refuse('contractRetired'), contractVersion};
  const version = known?.contractVersion ?? command.contractVersion;
  if (version !== contractVersion) {
    return {...refuse('staleContract'), contractVersion};
  }
  const grant = known ?? issueGrant(state, account, command);
  if (grant === undefined) {
    const available = availableAmount(account);
    return {...refuse('grantLimitReached'), available};
  }
  grant.until = computeDeadline(state, account);
  return createGrantResult(account, grant);
}

/** Bills the settled journal records of a grant that remains in use. */
export function mergeJournal(
  state: LedgerState,
  command: MergeJournal,
): MergedResult | RefusedResult {
  const {grantId} = command;
  const grant = state.grants.get(grantId);
  const account = findAccount(state, grant);
  if (grant === undefined || account === undefined) {
    return resultForMissingGrant(state, grantId);
  }
  const billed = mergeRecords(state, account, grant, command.records);
  return {kind: 'merged', grantId, billed, returned: 0};
}

/**
 * Closes a grant. A record without a settlement is billed at its unknown
 * cost, or at its maximum cost if it states none: the holder's journal is
 * final, so the outcome will not become known later.
 */
export function returnGrant(
  state: LedgerState,
  command: ReturnGrant,
): MergedResult | RefusedResult {
  const {grantId} = command;
  const grant = state.grants.get(grantId);
  const account = findAccount(state, grant);
  if (grant === undefined || account === undefined) {
    return resultForMissingGrant(state, grantId);
  }
  const records = command.records.map(record => ({
    ...record,
    settlement: record.settlement ?? createUnknownSettlement(record),
  }));
  const billed = mergeRecords(state, account, grant, records);
  const returned = remainingAmount(grant);
  account.granted -= returned;
  for (const [workspace, allowance] of grant.allowances) {
    getOrCreateSums(account, workspace).granted -= allowance;
  }
  state.grants.delete(grantId);
  account.grants.delete(grantId);
  state.requests.addReturned({grantId, returnedAt: state.now});
  pruneVersions(state, account);
  return {kind: 'merged', grantId, billed, returned};
}

function findAccount(
  state: LedgerState,
  grant: Grant | undefined,
): Account | undefined {
  return grant === undefined ? undefined : state.accounts.get(grant.customer);
}

/** Returns the result for a grant that was returned or never issued. */
function resultForMissingGrant(
  state: LedgerState,
  grantId: string,
): MergedResult | RefusedResult {
  if (!state.requests.isReturned(grantId)) return refuse('unknownGrant');
  return {kind: 'merged', grantId, billed: 0, returned: 0};
}

function issueGrant(
  state: LedgerState,
  account: Account,
  command: TakeGrant,
): Grant | undefined {
  const {grantPercent} = account.newest.contract.partition;
  const available = availableAmount(account);
  const maxGranted = percentOf(available + account.granted, grantPercent);
  const amount = Math.min(
    command.amount,
    available,
    maxGranted - account.granted,
  );
  if (amount <= 0) return undefined;
  const grant: Grant = {
    grantId: command.grantId,
    customer: command.customer,
    holder: command.holder,
    journal: command.journal,
    amount,
    billed: 0,
    contractVersion: account.newest.version,
    until: 0,
    mergedThrough: 0,
    mergedBeyond: new Set(),
    allowances: computeAllowances(account, amount),
  };
  account.granted += amount;
  for (const [workspace, allowance] of grant.allowances) {
    getOrCreateSums(account, workspace).granted += allowance;
  }
  account.grants.set(grant.grantId, grant);
  state.grants.set(grant.grantId, grant);
  return grant;
}

/** Returns the amounts that workspaces with a limited share may spend. */
function computeAllowances(
  account: Account,
  amount: number,
): Map<string, number> {
  const {workspaces, partition} = account.newest.contract;
  return new Map(
    workspaces
      .filter(({sharePercent}) => sharePercent < fullSharePercent)
      .map(workspace => {
        const available = availableShare(account, workspace);
        const maxAmount = percentOf(available, partition.grantPercent);
        return [workspace.name, Math.min(amount, maxAmount)];
      }),
  );
}

function computeDeadline(state: LedgerState, account: Account): number {
  const {driftPercent, driftMarginMilliseconds} = state.options;
  const serving = servingMilliseconds(account);
  const drift = Math.ceil((serving * driftPercent) / 100);
  return state.now + serving + drift + driftMarginMilliseconds;
}

function servingMilliseconds(account: Account): number {
  const {servingSeconds} = account.newest.contract.partition;
  return servingSeconds * millisecondsPerSecond;
}

function createGrantResult(account: Account, grant: Grant): GrantResult {
  const workspaces: WorkspaceAllowance[] = [...grant.allowances].map(
    ([workspace, amount]) => ({workspace, amount}),
  );
  return {
    kind: 'granted',
    grantId: grant.grantId,
    amount: grant.amount,
    remaining: remainingAmount(grant),
    servingMilliseconds: servingMilliseconds(account),
    contractVersion: grant.contractVersion,
    ...(workspaces.length === 0 ? {} : {workspaces}),
  };
}

function createUnknownSettlement(record: JournalRecord): JournalSettlement {
  return {
    cost: record.unknownCost ?? record.maximumCost,
    outcome: 'unknown',
    attempts: 1,
    settledAt: 0,
  };
}

/** Bills the settled records that are not merged yet; returns their sum. */
function mergeRecords(
  state: LedgerState,
  account: Account,
  grant: Grant,
  records: JournalRecord[],
): number {
  const ordered = [...records].sort((a, b) => a.sequence - b.sequence);
  let billed = 0;
  for (const record of ordered) {
    const {settlement} = record;
    if (settlement === undefined || isMerged(grant, record.sequence)) continue;
    markMerged(grant, record.sequence);
    billed += billRecord(state, account, grant, record, settlement);
  }
  return billed;
}

/** Bills a record unless its key was already billed; returns the cost. */
function billRecord(
  state: LedgerState,
  account: Account,
  grant: Grant,
  record: JournalRecord,
  settlement: JournalSettlement,
): number {
  const {customer, holder} = grant;
  const {workspace, fingerprint} = record;
  const requestKey = scopedKey({...record, customer});
  const {requests} = state;
  const settled = requests.settled.get(requestKey);
  const isBilled = settled !== undefined && !isUnbilledFailure(settled.bill);
  if (isBilled || requests.isForgotten(requestKey)) return 0;
  const open = requests.open.get(requestKey);
  if (open !== undefined) {
    // A failed attempt doesn't settle an attempt that is still open.
    if (isUnbilledFailure(settlement)) return 0;
    closeOpenRequest(state, open);
  }
  const maxCost = Math.min(record.maximumCost, remainingAmount(grant));
  const {cost, outcome} = capCost(settlement, maxCost);
  spendFromGrant(account, grant, workspace, cost);
  const bill = createJournalBill(state, account, grant, record, settlement);
  recordBill(
    state,
    {...bill, requestKey, cost, outcome},
    {fingerprint, holder, idempotent: true},
  );
  return cost;
}

/** Deducts a billed amount from a grant. */
function spendFromGrant(
  account: Account,
  grant: Grant,
  workspace: string,
  cost: number,
): void {
  grant.billed += cost;
  account.granted -= cost;
  const allowance = grant.allowances.get(workspace);
  if (allowance === undefined) return;
  const used = Math.min(cost, allowance);
  grant.allowances.set(workspace, allowance - used);
  getOrCreateSums(account, workspace).granted -= used;
}

function createJournalBill(
  state: LedgerState,
  account: Account,
  grant: Grant,
  record: JournalRecord,
  settlement: JournalSettlement,
): Omit<Bill, 'requestKey' | 'cost' | 'outcome'> {
  const {usage, backend, attempts, settledAt} = settlement;
  const {contract} = findVersion(account, record.contractVersion);
  const prices = findPrices(contract, record.target);
  return {
    customer: grant.customer,
    workspace: record.workspace,
    target: record.target,
    ...(usage === undefined ? {} : {usage}),
    attempt: 1,
    attempts,
    contractVersion: record.contractVersion,
    inputPrice: prices?.inputPrice ?? 0,
    outputPrice: prices?.outputPrice ?? 0,
    instance: grant.holder,
    ...(backend === undefined ? {} : {backend}),
    grantId: grant.grantId,
    traceId: record.traceId,
    settledAt: settledAt > 0 ? settledAt : state.now,
    index: state.index,
  };
}
