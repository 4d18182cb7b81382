/** @fileoverview Compares the maintained sums with sums over the records. */
import {type Account} from './account.js';
import {remainingAmount} from './grant.js';
import {type LedgerState} from './ledgerState.js';

interface RecomputedSums {
  reserved: number;
  granted: number;
  openRequests: number;
}

/** Returns a description of each sum that differs from its records. */
export function findSumMismatches(state: LedgerState): string[] {
  const sums = new Map<string, RecomputedSums>();
  for (const customer of state.accounts.keys()) {
    sums.set(customer, {reserved: 0, granted: 0, openRequests: 0});
  }
  for (const {customer, maximumCost} of state.requests.open.values()) {
    const sum = sums.get(customer);
    if (sum === undefined) continue;
    sum.reserved += maximumCost;
    sum.openRequests++;
  }
  for (const grant of state.grants.values()) {
    const sum = sums.get(grant.customer);
    if (sum !== undefined) sum.granted += remainingAmount(grant);
  }
  return [...state.accounts.values()].flatMap(account =>
    findAccountMismatches(account, sums.get(account.customer)),
  );
}

function findAccountMismatches(
  account: Account,
  sums: RecomputedSums | undefined,
): string[] {
  if (sums === undefined) return [];
  const workspaces = [...account.workspaces.values()];
  const total = (name: 'billed' | 'reserved'): number =>
    workspaces.reduce((sum, workspace) => sum + workspace[name], 0);
  const allocated = account.billed + account.reserved + account.granted;
  const prepaidTotal =
    account.inForce.contract.budget.prepaid + account.toppedUp;
  const checks: Array<[string, number, number]> = [
    ['reserved', account.reserved, sums.reserved],
    ['granted', account.granted, sums.granted],
    ['openRequests', account.openRequests, sums.openRequests],
    ['workspaces billed', account.billed, total('billed')],
    ['workspaces reserved', account.reserved, total('reserved')],
    ['above prepaid', Math.max(0, allocated - prepaidTotal), 0],
  ];
  return checks
    .filter(([, maintained, recomputed]) => maintained !== recomputed)
    .map(
      ([name, maintained, recomputed]) =>
        `customer ${account.customer}: ${name} is ${maintained}, counted ${recomputed}`,
    );
}
