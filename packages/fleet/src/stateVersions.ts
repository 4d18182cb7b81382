/**
 * @fileoverview Upgrades state and log entries that earlier versions of the
 * program wrote to a control process's disk.
 *
 * Version 1 counted loans as spent by the lender, did not record who borrowed
 * them, and had a different spending limit. So the unspent tokens of its
 * incarnations count as spent when these end, unless they were returned.
 * Version 2 had no blocked parts of prompts. Version 3 had a spending limit that
 * allowed more at once, so what its incarnations have unspent counts as spent
 * when these end, too. Version 4 had no evacuations.
 */
import {type RecordUsage, type UsageEntry} from '@dogwoodtrestle/schema';
import ModernError from 'modern-errors';

import {createNameTable} from './nameTable.js';
import {
  heldOf,
  restoredPrepaidState,
  type PrepaidAccount,
  type PrepaidState,
  type RouterIncarnation,
  type RouterTotals,
  unspentOf,
} from './prepaidAccounts.js';

/** Version of the replicated state that this program writes. */
export const stateVersion = 5;

/** Versions whose prepaid state is as that of this program. */
const currentLimitVersions: readonly number[] = [4, stateVersion];

/** Earlier versions whose prepaid state differs in the spending limit only. */
const earlierLimitVersions: readonly number[] = [2, 3];

/** Thrown for state that a later version of the program wrote. */
export const UnknownStateVersion: new (message: string) => Error =
  ModernError.subclass('UnknownStateVersionError');

/** Totals of a router incarnation as version 1 wrote them. */
interface Version1Totals {
  granted: number;
  /** Used by requests and lent. */
  spent: number;
  returned: number;
  /** Borrowed from other routers and returned unspent. */
  handedBack: number;
}

/** A usage entry as version 1 wrote it. */
type Version1Entry = Omit<Version1Totals, 'granted'> &
  Pick<UsageEntry, 'workspace' | 'cover' | 'grantUpTo'>;

/** The prepaid state as version 1 wrote it. */
interface Version1State {
  accounts: Record<
    string,
    {committed: number; routers: Record<string, Version1Totals>}
  >;
  routers: Record<string, RouterIncarnation>;
}

/** Commitment under which an incarnation may have spent its whole grant. */
const unlimitedCommitment = Number.MAX_SAFE_INTEGER;

/**
 * Upgrades the prepaid state of a snapshot to this version.
 *
 * @param version Version of the snapshot; undefined for version 1.
 * @throws UnknownStateVersion if a later version wrote the snapshot.
 */
export function upgradePrepaidState(
  state: unknown,
  version: number | undefined,
): PrepaidState {
  if (version !== undefined) {
    const isCurrent = currentLimitVersions.includes(version);
    if (isCurrent || earlierLimitVersions.includes(version)) {
      const restored = restoredPrepaidState(state as PrepaidState);
      if (!isCurrent) liftCommitments(restored);
      return restored;
    }
    const unknown: Error = new UnknownStateVersion(
      `the replicated state has version ${version}; this program reads up to ${stateVersion}`,
    );
    throw unknown;
  }
  const {accounts, routers} = state as Version1State;
  const upgraded: PrepaidState = {
    accounts: createNameTable(),
    routers: createNameTable(routers),
  };
  for (const [workspace, account] of Object.entries(accounts)) {
    upgraded.accounts[workspace] = upgradeAccount(account, upgraded.routers);
  }
  return upgraded;
}

/** Upgrades a recorded report of any earlier version to this version. */
export function upgradeUsage(command: RecordUsage): RecordUsage {
  const entries = command.entries as Array<UsageEntry | Version1Entry>;
  return {
    ...command,
    entries: entries.map(entry => {
      const committed = unlimitedCommitment;
      if (isVersion1(entry)) {
        const {workspace, cover, grantUpTo} = entry;
        const totals = upgradeAmounts(entry);
        return {workspace, ...totals, committed, cover, paced: 0, grantUpTo};
      }
      if (entry.paced !== undefined) return entry;
      return {...entry, committed, paced: 0};
    }),
  };
}

/** Lets incarnations of an earlier version have spent their whole grants. */
function liftCommitments({accounts}: PrepaidState): void {
  for (const {routers} of Object.values(accounts)) {
    for (const {promise} of Object.values(routers)) {
      Object.assign(promise, {committed: unlimitedCommitment, paced: 0});
    }
  }
}

function isVersion1(entry: UsageEntry | Version1Entry): entry is Version1Entry {
  return 'spent' in entry;
}

function upgradeAccount(
  {committed, routers: version1Routers}: Version1State['accounts'][string],
  incarnations: Record<string, RouterIncarnation>,
): PrepaidAccount {
  const sums = {committed, used: 0, lent: 0, borrowed: 0, forfeited: 0};
  const account: PrepaidAccount = {...sums, routers: createNameTable()};
  let unspent = 0;
  for (const [router, version1] of Object.entries(version1Routers)) {
    const totals = upgradeTotals(version1);
    account.routers[router] = totals;
    account.used += totals.used;
    account.borrowed += totals.borrowed;
    if (incarnations[router]?.isOver === false) unspent += unspentOf(totals);
  }
  account.forfeited = heldOf(account) - unspent;
  return account;
}

function upgradeTotals(version1: Version1Totals): RouterTotals {
  const amounts = upgradeAmounts(version1);
  const {borrowed} = amounts;
  return {
    granted: version1.granted,
    ...amounts,
    promise: {committed: unlimitedCommitment, cover: 0, paced: 0, borrowed},
  };
}

/** Tokens of loans that were returned unspent count as borrowed and returned. */
function upgradeAmounts({
  spent,
  returned,
  handedBack,
}: Omit<Version1Totals, 'granted'>): Pick<
  RouterTotals,
  'used' | 'lent' | 'borrowed' | 'returned'
> {
  return {
    used: spent,
    lent: 0,
    borrowed: handedBack,
    returned: returned + handedBack,
  };
}
