/**
 * @fileoverview Balance and contract versions of a customer.
 *
 * The functions of this module update the sums incrementally, so the cost of
 * a command does not depend on the number of open requests and grants.
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

/** Usage that the limits of a customer or a workspace are checked against. */
export interface LimitUsage {
  openRequests: number;
  /**
   * Ledger time, in microseconds, until which the opened requests use up the
   * rate limit (the theoretical arrival time of the GCRA).
   */
  rateUsedUntil: number;
}

/** Sums of a workspace, in micros, and the usage of its limits. */
export interface WorkspaceSums extends LimitUsage {
  billed: number;
  reserved: number;
  granted: number;
}

/** Contract change that waits for grants under older versions. */
export interface PendingChange {
  changeId: string;
  /** Ids of the grants under versions that the change restricts. */
  grantIds: string[];
}

/** Balance and contract versions of a customer; amounts in micros. */
export interface Account extends LimitUsage {
  customer: string;
  /** Newest version, pending or accepted; new requests are checked by it. */
  newest: ContractVersion;
  /** Newest accepted version. */
  inForce: ContractVersion;
  /** Other versions under which grants were issued, by version number. */
  retained: Map<number, ContractVersion>;
  revision: number;
  pending?: PendingChange;
  toppedUp: number;
  billed: number;
  reserved: number;
  granted: number;
  grants: Map<string, Grant>;
  workspaces: Map<string, WorkspaceSums>;
  /** Ids of the changes within the retention, oldest first. */
  changeIds: string[];
  /** Id of the change that created each version, within the retention. */
  versionChanges: Map<number, string>;
}

/** Returns a new account with a customer's first contract version. */
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

/**
 * Returns the total amount that may be spent: top-ups, and the lower of the
 * prepaid amounts of the newest version and the version in force.
 */
export function budgetLimit(account: Account): number {
  const prepaid = Math.min(
    account.inForce.contract.budget.prepaid,
    account.newest.contract.budget.prepaid,
  );
  return prepaid + account.toppedUp;
}

/** Returns the amount that is neither billed nor reserved nor granted. */
export function availableAmount(account: Account): number {
  return budgetLimit(account) - allocatedAmount(account);
}

/** Returns the amount that is billed, reserved or granted. */
export function allocatedAmount(account: Account): number {
  return account.billed + account.reserved + account.granted;
}

/** Returns the sums of a workspace; creates them with 0 where missing. */
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

/** Returns the amount that a workspace may still spend of its share. */
export function availableShare(account: Account, workspace: Workspace): number {
  const share = percentOf(budgetLimit(account), workspace.sharePercent);
  const sums = account.workspaces.get(workspace.name);
  if (sums === undefined) return share;
  return share - sums.billed - sums.reserved - sums.granted;
}

/** Reserves an amount for a request that is opened. */
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

/** Releases the reservation of a request that is closed. */
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

/** Adds the cost of a request to the billed amounts. */
export function charge(
  account: Account,
  workspace: string,
  cost: number,
): void {
  account.billed += cost;
  getOrCreateSums(account, workspace).billed += cost;
}

/** Returns the version with a number if it is retained, else the newest. */
export function findVersion(
  account: Account,
  version: number,
): ContractVersion {
  if (version === account.newest.version) return account.newest;
  if (version === account.inForce.version) return account.inForce;
  return account.retained.get(version) ?? account.newest;
}

/** Returns all retained versions, including the one in force and the newest. */
export function allVersions(account: Account): ContractVersion[] {
  return [
    ...new Set([account.inForce, ...account.retained.values(), account.newest]),
  ];
}

/**
 * Checks that all sums are non-negative safe integers and within the prepaid
 * amount.
 *
 * @throws InvariantViolation if they are not.
 */
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

/** Returns the unbilled amount, in micros, of the expired grants. */
export function expiredGrantAmount(account: Account, now: number): number {
  let sum = 0;
  for (const grant of account.grants.values()) {
    if (grant.until < now) sum += remainingAmount(grant);
  }
  return sum;
}
