/** @fileoverview Operator commands that change contracts and budgets. */
import {
  type ApplyContract,
  type ChangeResult,
  type ChangeWinner,
  type Contract,
  type Finding,
  type RetireContract,
  type TopUp,
} from '@dogwoodtrestle/schema';

import {
  type Account,
  createAccount,
  expiredGrantAmount,
  allVersions,
  type ContractVersion,
} from '../account.js';
import {type ChangeRecord} from '../changeStore.js';
import {checkContract, maxBudgetMicros} from '../checkContract.js';
import {type LedgerState} from '../ledgerState.js';
import {describePending, installVersion} from '../pendingChange.js';
import {contentDigest} from '../util/digest.js';
import {jsonDifferences} from '../util/jsonDifferences.js';

type ChangeCommand = ApplyContract | RetireContract | TopUp;

const changeKinds = {
  applyContract: 'apply',
  retireContract: 'retire',
  topUp: 'topUp',
} as const;

/** Installs a new contract version, or rejects it with findings. */
export function applyContract(
  state: LedgerState,
  command: ApplyContract,
): ChangeResult {
  const {contract, expectedVersion} = command;
  return decideOnce(state, command, contract.customer, record => {
    const account = state.accounts.get(contract.customer);
    const findings = [
      ...versionFindings(account, expectedVersion),
      ...checkContract(contract),
      ...ledgerFindings(state, account, contract),
    ];
    if (findings.length > 0) {
      reject(record, findings, findWinner(state, account, command));
      return;
    }
    const version = expectedVersion + 1;
    const newVersion = {version, contract, retired: false};
    installNextVersion(state, account, newVersion, record);
    for (const {keyHash} of contract.workspaces) {
      state.customersByKeyHash.set(keyHash, contract.customer);
    }
  });
}

/** Retires a contract: no request or grant is opened under it any more. */
export function retireContract(
  state: LedgerState,
  command: RetireContract,
): ChangeResult {
  const {customer, expectedVersion} = command;
  return decideOnce(state, command, customer, record => {
    const account = state.accounts.get(customer);
    const findings = [
      ...customerFindings(account, customer),
      ...versionFindings(account, expectedVersion),
    ];
    if (account === undefined || findings.length > 0) {
      reject(record, findings, findWinner(state, account, command));
      return;
    }
    const {contract} = account.newest;
    const newVersion = {version: expectedVersion + 1, contract, retired: true};
    installNextVersion(state, account, newVersion, record);
  });
}

/** Increases a customer's prepaid amount. */
export function topUp(state: LedgerState, command: TopUp): ChangeResult {
  const {customer, amount} = command;
  return decideOnce(state, command, customer, record => {
    record.amount = amount;
    const account = state.accounts.get(customer);
    const findings = customerFindings(account, customer);
    if (account !== undefined) {
      const total = account.newest.contract.budget.prepaid + account.toppedUp;
      findings.push(...budgetFindings('/amount', total + amount));
    }
    if (account === undefined || findings.length > 0) {
      reject(record, findings);
      return;
    }
    account.toppedUp += amount;
  });
}

/** Returns the current result of a recorded change. */
export function changeResult(
  state: LedgerState,
  record: ChangeRecord,
): ChangeResult {
  const {changeId, customer, version, revision, findings, winner} = record;
  const account = state.accounts.get(customer);
  const isPending = record.state === 'pending' && account !== undefined;
  return {
    kind: 'change',
    changeId,
    customer,
    state: record.state,
    version,
    revision,
    ...(isPending ? describePending(state, account) : {}),
    ...(findings === undefined ? {} : {findings}),
    ...(winner === undefined ? {} : {winner}),
  };
}

/**
 * Decides a change once per change id. A resend gets the current result, and
 * an id that is reused for another change is rejected.
 */
function decideOnce(
  state: LedgerState,
  command: ChangeCommand,
  customer: string,
  decide: (record: ChangeRecord) => void,
): ChangeResult {
  const {changeId, operator} = command;
  const digest = contentDigest(command);
  const known = state.changes.records.get(changeId);
  if (known !== undefined && known.digest === digest) {
    return changeResult(state, known);
  }
  const record: ChangeRecord = {
    changeId,
    kind: changeKinds[command.kind],
    customer,
    operator,
    digest,
    changedAt: state.now,
    state: 'accepted',
    version: state.accounts.get(customer)?.newest.version ?? 0,
    revision: state.revision,
  };
  if (known !== undefined) {
    reject(record, [reusedIdFinding(known)]);
    return changeResult(state, record);
  }
  state.changes.add(record);
  decide(record);
  const account = state.accounts.get(customer);
  account?.changeIds.push(changeId);
  return changeResult(state, record);
}

function installNextVersion(
  state: LedgerState,
  account: Account | undefined,
  newVersion: ContractVersion,
  record: ChangeRecord,
): void {
  state.revision++;
  record.version = newVersion.version;
  record.revision = state.revision;
  const {customer} = record;
  const current = account ?? createAccount(newVersion, state.revision);
  if (account === undefined) {
    state.accounts.set(customer, current);
  } else {
    installVersion(state, current, newVersion, record);
  }
  current.revision = state.revision;
  current.versionChanges.set(newVersion.version, record.changeId);
  state.revisions.set(customer, state.revision);
}

function reject(
  record: ChangeRecord,
  findings: Finding[],
  winner?: ChangeWinner,
): void {
  record.state = 'rejected';
  record.findings = findings;
  record.winner = winner;
}

function reusedIdFinding(known: ChangeRecord): Finding {
  return {
    path: '/changeId',
    message: `change id '${known.changeId}' was already used for another change, by ${known.operator} on ${known.customer}`,
  };
}

function versionFindings(
  account: Account | undefined,
  expectedVersion: number,
): Finding[] {
  const version = account?.newest.version ?? 0;
  if (version === expectedVersion) return [];
  return [
    {
      path: '/expectedVersion',
      message: `the newest version is ${version}, not ${expectedVersion}`,
    },
  ];
}

function customerFindings(
  account: Account | undefined,
  customer: string,
): Finding[] {
  if (account === undefined) {
    const message = `customer '${customer}' has no contract`;
    return [{path: '/customer', message}];
  }
  if (!account.newest.retired) return [];
  return [{path: '/customer', message: `contract of '${customer}' is retired`}];
}

/** Returns the findings of a contract that depend on the ledger's state. */
function ledgerFindings(
  state: LedgerState,
  account: Account | undefined,
  contract: Contract,
): Finding[] {
  const {prepaid, currency} = contract.budget;
  const findings = keyOwnerFindings(state, contract);
  const total = prepaid + (account?.toppedUp ?? 0);
  findings.push(...budgetFindings('/budget/prepaid', total));
  if (account === undefined) return findings;
  const currentCurrency = account.newest.contract.budget.currency;
  if (currentCurrency !== currency) {
    const message = `the currency is ${currentCurrency} and can't change`;
    findings.push({path: '/budget/currency', message});
  }
  const expired = expiredGrantAmount(account, state.now);
  const minimumTotal = account.billed + account.reserved + expired;
  if (total < minimumTotal) {
    findings.push({
      path: '/budget/prepaid',
      message: `must be at least ${minimumTotal - account.toppedUp}: billed ${account.billed}, reserved ${account.reserved}, in expired grants ${expired}, topped up ${account.toppedUp}`,
    });
  }
  return findings;
}

function keyOwnerFindings(state: LedgerState, contract: Contract): Finding[] {
  return contract.workspaces.flatMap(({keyHash}, index) => {
    const owner = state.customersByKeyHash.get(keyHash);
    if (owner === undefined || owner === contract.customer) return [];
    const message = `key is already used by customer '${owner}'`;
    return [{path: `/workspaces/${index}/keyHash`, message}];
  });
}

function budgetFindings(path: string, total: number): Finding[] {
  if (total <= maxBudgetMicros) return [];
  const message = `prepaid amount and top-ups would exceed ${maxBudgetMicros}`;
  return [{path, message}];
}

/** Returns the change that created the version that a command expected. */
function findWinner(
  state: LedgerState,
  account: Account | undefined,
  command: ApplyContract | RetireContract,
): ChangeWinner | undefined {
  if (account === undefined) return undefined;
  const {version} = account.newest;
  if (command.expectedVersion >= version) return undefined;
  const {versionChanges} = account;
  const changeId =
    versionChanges.get(command.expectedVersion + 1) ??
    versionChanges.get(version);
  const winner =
    changeId === undefined ? undefined : state.changes.records.get(changeId);
  if (winner === undefined) return undefined;
  const winningVersion = allVersions(account).find(
    entry => entry.version === winner.version,
  );
  const isComparable = 'contract' in command && winningVersion !== undefined;
  return {
    changeId: winner.changeId,
    operator: winner.operator,
    version: winner.version,
    ...(isComparable
      ? {differs: jsonDifferences(command.contract, winningVersion.contract)}
      : {}),
  };
}
