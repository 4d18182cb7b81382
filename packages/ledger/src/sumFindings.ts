/** @fileoverview Computes the maintained sums again from their records. */
import {type Account} from './account.js';
import {remainingOf} from './grant.js';
import {type LedgerState} from './ledgerState.js';

interface Sums {
  reserved: number;
  granted: number;
  openRequests: number;
}

/** Returns a line for each sum that differs from its records. */
export function sumFindings(state: LedgerState): string[] {
  const sums = new Map<string, Sums>();
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
    if (sum !== undefined) sum.granted += remainingOf(grant);
  }
  return [...state.accounts.values()].flatMap(account =>
    accountFindings(account, sums.get(account.customer)),
  );
}

function accountFindings(account: Account, sums: Sums | undefined): string[] {
  if (sums === undefined) return [];
  const workspaces = [...account.workspaces.values()];
  const total = (name: 'billed' | 'reserved'): number =>
    workspaces.reduce((sum, workspace) => sum + workspace[name], 0);
  const held = account.billed + account.reserved + account.granted;
  const paid = account.inForce.contract.budget.prepaid + account.toppedUp;
  const checks: Array<[string, number, number]> = [
    ['reserved', account.reserved, sums.reserved],
    ['granted', account.granted, sums.granted],
    ['openRequests', account.openRequests, sums.openRequests],
    ['workspaces billed', account.billed, total('billed')],
    ['workspaces reserved', account.reserved, total('reserved')],
    ['above prepaid', Math.max(0, held - paid), 0],
  ];
  return checks
    .filter(([, maintained, counted]) => maintained !== counted)
    .map(
      ([name, maintained, counted]) =>
        `customer ${account.customer}: ${name} is ${maintained}, counted ${counted}`,
    );
}
