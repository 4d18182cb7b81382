/**
 * @fileoverview One customer's money and contract.
 *
 * The sums are maintained by the functions of this module, so that every
 * command costs the same however many requests or grants are open.
 */
import {type Contract, type Workspace} from '@dogwoodtrestle/schema';

import {InvariantViolation} from './errors.js';
import {type Grant, remainingAmount} from './grant.js';
import {percentOf} from './util/percentOf.js';

/** A contract version. */
export interface ContractVersion {
  version: number;
  contract: Contract;
  retired: boolean;
}

/** Counts that the limits of a customer or a workspace are checked by. */
export interface LimitUsage {
  openRequests: number;
  /** Time in microseconds until which the opened requests use up the rate. */
  rateUsedUntil: number;
}

/** Sums of one workspace in micros, and its counts. */
export interface WorkspaceSums extends LimitUsage {
  billed: number;
  reserved: number;
  granted: number;
}

/** A change that waits for grants under older versions. */
export interface PendingChange {
  changeId: string;
  /** Ids of the grants under versions that the change tightens. */
  grantIds: string[];
}

/** Money and contract of one customer; amounts in micros. */
export interface Account extends LimitUsage {
  customer: string;
  /** Newest version, whether pending or accepted. Opens are checked by it. */
  newest: ContractVersion;
  /** Newest accepted version. */
  inForce: ContractVersion;
  /** Other versions that grants were issued under, by version. */
  retained: Map<number, ContractVersion>;
  revision: number;
  pending?: PendingChange;
  toppedUp: number;
  billed: number;
  reserved: number;
  granted: number;
  grants: Map<string, Grant>;
  workspaces: Map<string, WorkspaceSums>;
  /** Ids of the remembered changes, oldest first. */
  changeIds: string[];
  /** Id of the change that made a version, for remembered changes. */
  versionChanges: Map<number, string>;
}

/** Returns a customer's first account. */
export function createAccount(
  firstVersion: ContractVersion,
  revision: number,
): Account {
  return {
    customer: firstVersion.contract.customer,
    newest: firstVersion,
    inForce: firstVersion,
    retained: new Map(),
    revision,
    toppedUp: 0,
    billed: 0,
    reserved: 0,
    granted: 0,
    openRequests: 0,
    rateUsedUntil: 0,
    grants: new Map(),
    workspaces: new Map(),
    changeIds: [],
    versionChanges: new Map(),
  };
}

/** Amount that may be spent in all: the stricter prepaid, and top-ups. */
export function budgetLimit(account: Account): number {
  const prepaid = Math.min(
    account.inForce.contract.budget.prepaid,
    account.newest.contract.budget.prepaid,
  );
  return prepaid + account.toppedUp;
}

/** Amount that is neither billed nor reserved nor granted. */
export function availableAmount(account: Account): number {
  return budgetLimit(account) - allocatedAmount(account);
}

/** Amount that is billed, reserved or granted. */
export function allocatedAmount(account: Account): number {
  return account.billed + account.reserved + account.granted;
}

/** Returns the sums of a workspace, which start at 0. */
export function getOrCreateSums(
  account: Account,
  workspace: string,
): WorkspaceSums {
  let sums = account.workspaces.get(workspace);
  if (sums === undefined) {
    sums = {
      billed: 0,
      reserved: 0,
      granted: 0,
      openRequests: 0,
      rateUsedUntil: 0,
    };
    account.workspaces.set(workspace, sums);
  }
  return sums;
}

/** Amount that a workspace may still spend by its share. */
export function availableShare(account: Account, workspace: Workspace): number {
  const share = percentOf(budgetLimit(account), workspace.sharePercent);
  const sums = account.workspaces.get(workspace.name);
  if (sums === undefined) return share;
  return share - sums.billed - sums.reserved - sums.granted;
}

/** Reserves an amount for a request that opens. */
export function reserve(
  account: Account,
  workspace: string,
  amount: number,
): void {
  account.reserved += amount;
  account.openRequests++;
  const sums = getOrCreateSums(account, workspace);
  sums.reserved += amount;
  sums.openRequests++;
}

/** Releases the reservation of a request that closes. */
export function release(
  account: Account,
  workspace: string,
  amount: number,
): void {
  account.reserved -= amount;
  account.openRequests--;
  const sums = getOrCreateSums(account, workspace);
  sums.reserved -= amount;
  sums.openRequests--;
}

/** Adds the cost of a request to what is billed. */
export function charge(
  account: Account,
  workspace: string,
  cost: number,
): void {
  account.billed += cost;
  getOrCreateSums(account, workspace).billed += cost;
}

/** Returns a version's terms if they are still kept, else the newest. */
export function findVersion(
  account: Account,
  version: number,
): ContractVersion {
  if (version === account.newest.version) return account.newest;
  if (version === account.inForce.version) return account.inForce;
  return account.retained.get(version) ?? account.newest;
}

/** Returns all versions that are still kept. */
export function allVersions(account: Account): ContractVersion[] {
  return [
    ...new Set([account.inForce, ...account.retained.values(), account.newest]),
  ];
}

/** Throws unless the sums are sound and fit the prepaid amount. */
export function assertBudgetInvariant(account: Account): void {
  const {customer, billed, reserved, granted, toppedUp} = account;
  const prepaidTotal = account.inForce.contract.budget.prepaid + toppedUp;
  const sums = [billed, reserved, granted, prepaidTotal];
  const isValid = sums.every(sum => Number.isSafeInteger(sum) && sum >= 0);
  if (isValid && billed + reserved + granted <= prepaidTotal) return;
  const violation: Error = new InvariantViolation(
    `customer ${customer}: billed ${billed} + reserved ${reserved} + granted ${granted} against prepaid ${prepaidTotal}`,
  );
  throw violation;
}

/** Sum of what is left of the grants that can't be spent any more. */
export function expiredGrantAmount(account: Account, now: number): number {
  let sum = 0;
  for (const grant of account.grants.values()) {
    if (grant.until < now) sum += remainingAmount(grant);
  }
  return sum;
}
