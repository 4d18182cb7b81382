/**
 * @fileoverview Reads state and entries that earlier versions of the program
 * wrote to a control process's disk.
 *
 * Version 1 counted loans as spent by the lender, named in no books who had
 * borrowed them, and had another pace of spending. So what its lives had left
 * when they ended counts as spent, unless they returned it.
 */
import {type RecordUsage, type UsageEntry} from '@dogwoodtrestle/schema';
import ModernError from 'modern-errors';

import {
  heldOf,
  type PrepaidAccount,
  type PrepaidState,
  type RouterIncarnation,
  type RouterTotals,
  unspentOf,
} from './prepaidAccounts.js';

/** Version of the state that this program writes. */
export const stateVersion = 2;

/** The state was written by a later version of the program. */
export const UnknownStateVersion: new (message: string) => Error =
  ModernError.subclass('UnknownStateVersionError');

/** Totals of a router's life as version 1 wrote them. */
interface FormerTotals {
  granted: number;
  /** Used by requests and lent. */
  spent: number;
  returned: number;
  /** Borrowed from other routers and given back unspent. */
  handedBack: number;
}

/** A usage entry as version 1 wrote it. */
type FormerEntry = Omit<FormerTotals, 'granted'> &
  Pick<UsageEntry, 'workspace' | 'cover' | 'grantUpTo'>;

/** A book as version 1 wrote it. */
interface FormerBook {
  accounts: Record<
    string,
    {committed: number; routers: Record<string, FormerTotals>}
  >;
  routers: Record<string, RouterIncarnation>;
}

/** So much that a life may have spent all that it was granted. */
const unboundCommitment = Number.MAX_SAFE_INTEGER;

/**
 * Returns the book of a snapshot as this version has it.
 *
 * @param version That of the snapshot; undefined for the first.
 * @throws UnknownStateVersion
 */
export function upgradePrepaidState(
  book: unknown,
  version: number | undefined,
): PrepaidState {
  if (version === stateVersion) return book as PrepaidState;
  if (version !== undefined) {
    const unknown: Error = new UnknownStateVersion(
      `the replicated state has version ${version}; this program reads up to ${stateVersion}`,
    );
    throw unknown;
  }
  const {accounts, routers} = book as FormerBook;
  const upgraded: PrepaidState = {accounts: {}, routers};
  for (const [workspace, account] of Object.entries(accounts)) {
    upgraded.accounts[workspace] = upgradeAccount(account, routers);
  }
  return upgraded;
}

/** Returns a report as this version has it, whichever one recorded it. */
export function upgradeUsage(command: RecordUsage): RecordUsage {
  const entries = command.entries as Array<UsageEntry | FormerEntry>;
  if (!entries.some(isFormer)) return command;
  return {
    ...command,
    entries: entries.map(entry => {
      if (!isFormer(entry)) return entry;
      const {workspace, cover, grantUpTo} = entry;
      const totals = upgradeAmounts(entry);
      const committed = unboundCommitment;
      return {workspace, ...totals, committed, cover, grantUpTo};
    }),
  };
}

function isFormer(entry: UsageEntry | FormerEntry): entry is FormerEntry {
  return 'spent' in entry;
}

function upgradeAccount(
  {committed, routers: formerRouters}: FormerBook['accounts'][string],
  records: Record<string, RouterIncarnation>,
): PrepaidAccount {
  const sums = {committed, used: 0, lent: 0, borrowed: 0, forfeited: 0};
  const account: PrepaidAccount = {...sums, routers: {}};
  let unspent = 0;
  for (const [router, former] of Object.entries(formerRouters)) {
    const totals = upgradeTotals(former);
    account.routers[router] = totals;
    account.used += totals.used;
    account.borrowed += totals.borrowed;
    if (records[router]?.isOver === false) unspent += unspentOf(totals);
  }
  account.forfeited = heldOf(account) - unspent;
  return account;
}

function upgradeTotals(former: FormerTotals): RouterTotals {
  const amounts = upgradeAmounts(former);
  const {borrowed} = amounts;
  return {
    granted: former.granted,
    ...amounts,
    promise: {committed: unboundCommitment, cover: 0, borrowed},
  };
}

/** What was given back of loans counts as borrowed and returned. */
function upgradeAmounts({
  spent,
  returned,
  handedBack,
}: Omit<FormerTotals, 'granted'>): Pick<
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
