/**
 * @fileoverview Prepaid totals of workspaces, and the grants that routers spend
 * without asking.
 *
 * All amounts of a router are totals of one life of its process and only rise,
 * so that messages may be repeated, lost and overtake each other. What was
 * granted and not returned counts as spent, so a router that dies or is cut
 * off can't cause an overspend.
 */
import {type UsageEntry} from '@dogwoodtrestle/schema';

/** Totals of one router's life. */
export interface RouterTotals {
  granted: number;
  spent: number;
  returned: number;
  /** Time of the newest change, in milliseconds of the replicated log. */
  changedAt: number;
}

/** Grants of one workspace. */
export interface PrepaidAccount {
  /** Granted and not returned, over all routers that there ever were. */
  committed: number;
  routers: Record<string, RouterTotals>;
}

/** What came of a usage entry. */
export interface UsageOutcome {
  workspace: string;
  granted: number;
}

/** Routers whose totals are older than this are folded into `committed`. */
const forgetRouterAfterMilliseconds = 3_600_000;

/** Accounts by workspace; a JSON value. */
export type PrepaidAccounts = Record<string, PrepaidAccount>;

/**
 * Records the totals of a router and grants it more, as far as the prepaid
 * total allows.
 *
 * @param prepaid Total of the workspace; Infinity for no bound.
 * @param now Time in milliseconds of the replicated log.
 */
export function recordUsage(
  accounts: PrepaidAccounts,
  router: string,
  entry: UsageEntry,
  prepaid: number,
  now: number,
): UsageOutcome {
  const account = (accounts[entry.workspace] ??= {committed: 0, routers: {}});
  const totals = (account.routers[router] ??= {
    granted: 0,
    spent: 0,
    returned: 0,
    changedAt: now,
  });
  totals.changedAt = now;
  totals.spent = Math.max(totals.spent, entry.spent);
  const returned = Math.min(
    Math.max(totals.returned, entry.returned),
    totals.granted,
  );
  account.committed -= returned - totals.returned;
  totals.returned = returned;
  const asked = Math.max(0, entry.grantUpTo - totals.granted);
  const free = Math.max(0, prepaid - account.committed);
  const granted = Math.floor(Math.min(asked, free));
  totals.granted += granted;
  account.committed += granted;
  return {workspace: entry.workspace, granted: totals.granted};
}

/** Tokens of a workspace that no router holds. */
export function ungranted(
  account: PrepaidAccount | undefined,
  prepaid: number,
): number {
  return Math.max(0, prepaid - (account?.committed ?? 0));
}

/** Forgets the totals of routers that have been silent for long. */
export function forgetOldRouters(accounts: PrepaidAccounts, now: number): void {
  for (const account of Object.values(accounts)) {
    for (const [router, {changedAt}] of Object.entries(account.routers)) {
      if (now - changedAt > forgetRouterAfterMilliseconds) {
        delete account.routers[router];
      }
    }
  }
}
