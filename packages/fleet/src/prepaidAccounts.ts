/**
 * @fileoverview Prepaid totals of workspaces, and the grants that routers spend
 * without asking.
 *
 * All amounts of a router are totals of one life of its process and only rise,
 * so that messages may be repeated, lost and overtake each other. What was
 * granted and not returned counts as spent, so a router that is cut off can't
 * cause an overspend. Once another life starts on its instance, what the
 * earlier one can't have spent goes back; see `spendingPace` and
 * `unreportedSpan`.
 */
import {
  type RecordUsage,
  type RouterLife,
  type UsageEntry,
} from '@dogwoodtrestle/schema';

import {spendingLimit} from './spendingLimit.js';
import {
  type CommitmentTime,
  type SuccessorReport,
  type UnreportedTime,
  boundUnreportedTime,
} from './unreportedTime.js';

/** Totals of one router's life in one workspace. */
export interface RouterTotals {
  granted: number;
  /** Borrowed from other routers. */
  borrowed: number;
  /** Used by requests. */
  used: number;
  /** Lent to other routers. */
  lent: number;
  returned: number;
  /** The newest recorded promise. */
  promise: RecordedCommitment;
}

/** What a router promised to keep to. */
export interface RecordedCommitment {
  /** Used, lent, reserved and wanted by then. */
  committed: number;
  /** Unspent tokens that the pace follows. */
  cover: number;
  /** Borrowed by then; the promise doesn't bind what is borrowed later. */
  borrowed: number;
}

/** One life of a router. */
export interface RouterIncarnation {
  life: RouterLife;
  /** Time of its newest recorded promise. */
  promisedAt: CommitmentTime;
  /** Another life has started on its instance. */
  isOver: boolean;
  /** Time of the newest change, in milliseconds of the replicated log. */
  changedAt: number;
}

/** Sums over all routers that there ever were. */
export interface AccountSums {
  /** Granted and not returned. */
  committed: number;
  used: number;
  lent: number;
  borrowed: number;
  /** Unspent tokens of ended lives that count as spent for good. */
  forfeited: number;
}

/** Grants of one workspace. */
export interface PrepaidAccount extends AccountSums {
  routers: Record<string, RouterTotals>;
}

/** All accounts and routers; a JSON value. */
export interface PrepaidState {
  accounts: Record<string, PrepaidAccount>;
  routers: Record<string, RouterIncarnation>;
}

/** What came of a usage entry. */
export interface UsageOutcome {
  workspace: string;
  granted: number;
}

/** A life that another one of its instance ended. */
export interface EndedIncarnation extends UnreportedTime {
  router: string;
  instance: string;
  /** Tokens that went back, by workspace. */
  returned: Record<string, number>;
  /** Unspent tokens that count as spent for good, by workspace. */
  forfeited: Record<string, number>;
}

/** A report by which a life spent more than it had, which can't be. */
export interface Overspend {
  workspace: string;
  router: string;
  /** Whether another life of the instance had started by then. */
  isOver: boolean;
  /** Tokens beyond those that the life had. */
  excess: number;
}

/** What came of a report. */
export interface UsageResult {
  outcomes: UsageOutcome[];
  ended: EndedIncarnation[];
  breaches: Overspend[];
}

/** Lives that ended this long ago are forgotten. */
const forgetLifeAfterMilliseconds = 3_600_000;

/** Opens an empty book. */
export function emptyPrepaidState(): PrepaidState {
  return {accounts: {}, routers: {}};
}

function emptyAccount(): PrepaidAccount {
  return {
    committed: 0,
    used: 0,
    lent: 0,
    borrowed: 0,
    forfeited: 0,
    routers: {},
  };
}

/**
 * Records the totals of a router and grants it more, as far as the prepaid
 * totals allow.
 *
 * @param prepaidOf Total of a workspace; Infinity for no bound.
 * @param now Time in milliseconds of the replicated log.
 */
export function recordUsage(
  book: PrepaidState,
  command: RecordUsage,
  prepaidOf: (workspace: string) => number,
  now: number,
): UsageResult {
  const {router, reportedAt, entries} = command;
  const ended: EndedIncarnation[] = [];
  const breaches: Overspend[] = [];
  const record = openLife(book, command, now, ended);
  record.changedAt = now;
  const isPromise =
    !record.isOver &&
    reportedAt !== undefined &&
    reportedAt >= record.promisedAt.at;
  if (isPromise) {
    const {reportedWallAt: wallAt, leaderTime} = command;
    record.promisedAt = {at: reportedAt, wallAt, leaderTime};
  }
  const outcomes = entries.map(entry => {
    const account = (book.accounts[entry.workspace] ??= emptyAccount());
    const totals = (account.routers[router] ??= {
      granted: 0,
      borrowed: 0,
      used: 0,
      lent: 0,
      returned: 0,
      promise: {committed: 0, cover: 0, borrowed: 0},
    });
    const excess = excessOf(totals, entry);
    if (excess > 0) {
      const {workspace} = entry;
      breaches.push({workspace, router, isOver: record.isOver, excess});
    }
    if (!record.isOver) {
      if (isPromise) {
        const {committed, cover, borrowed} = entry;
        totals.promise = {committed, cover, borrowed};
      }
      update(account, totals, entry, prepaidOf(entry.workspace));
    }
    return {workspace: entry.workspace, granted: totals.granted};
  });
  return {outcomes, ended, breaches};
}

/** Tokens of a workspace that no router holds. */
export function ungranted(
  account: PrepaidAccount | undefined,
  prepaid: number,
): number {
  return Math.max(0, prepaid - (account?.committed ?? 0));
}

/** Totals of a router that are summed over all of them. */
const risingTotals = ['used', 'lent', 'borrowed'] as const;

/** Tokens that all routers hold by their newest reports. */
export function heldOf(account: PrepaidAccount): number {
  const {committed, used, lent, borrowed, forfeited} = account;
  return committed + borrowed - used - lent - forfeited;
}

/** Tokens that a life holds by its newest report. */
export function unspentOf(totals: Omit<RouterTotals, 'promise'>): number {
  const {granted, borrowed, used, lent, returned} = totals;
  return granted + borrowed - used - lent - returned;
}

/** Tokens that a report names as spent beyond what the life had. */
function excessOf(totals: RouterTotals, entry: UsageEntry): number {
  const {granted, returned} = totals;
  const borrowed = Math.max(totals.borrowed, entry.borrowed);
  const {used, lent} = entry;
  return -unspentOf({granted, borrowed, used, lent, returned});
}

function update(
  account: PrepaidAccount,
  totals: RouterTotals,
  entry: UsageEntry,
  prepaid: number,
): void {
  for (const name of risingTotals) {
    const total = Math.max(totals[name], entry[name]);
    account[name] += total - totals[name];
    totals[name] = total;
  }
  const returned = Math.min(
    Math.max(totals.returned, entry.returned),
    totals.granted + totals.borrowed,
  );
  account.committed -= returned - totals.returned;
  totals.returned = returned;
  const asked = Math.max(0, entry.grantUpTo - totals.granted);
  const free = Math.max(0, prepaid - account.committed);
  const granted = Math.floor(Math.min(asked, free));
  totals.granted += granted;
  account.committed += granted;
}

/** Returns a life's record; a new one ends the others of its instance. */
function openLife(
  book: PrepaidState,
  command: RecordUsage,
  now: number,
  ended: EndedIncarnation[],
): RouterIncarnation {
  const {router, life} = command;
  const known = book.routers[router];
  if (known !== undefined) return known;
  for (const [other, record] of Object.entries(book.routers)) {
    if (record.life.instance === life.instance && !record.isOver) {
      ended.push(endLife(book, other, record, command));
    }
    const age = now - record.changedAt;
    if (record.isOver && age > forgetLifeAfterMilliseconds) {
      forgetLife(book, other);
    }
  }
  const record: RouterIncarnation = {
    life,
    promisedAt: {at: life.startedAt, wallAt: life.wallStartedAt},
    isOver: false,
    changedAt: now,
  };
  book.routers[router] = record;
  return record;
}

/** Takes back what a life can't have spent before its successor started. */
function endLife(
  book: PrepaidState,
  router: string,
  record: RouterIncarnation,
  report: SuccessorReport,
): EndedIncarnation {
  record.isOver = true;
  const {life, promisedAt} = record;
  const span = boundUnreportedTime(life, promisedAt, report);
  const ended: EndedIncarnation = {
    router,
    instance: life.instance,
    ...span,
    returned: {},
    forfeited: {},
  };
  for (const [workspace, account] of Object.entries(book.accounts)) {
    const totals = account.routers[router];
    if (totals === undefined) continue;
    const unspent = unspentOf(totals);
    const returned = Math.min(unspent, unspentAfter(totals, span.milliseconds));
    totals.returned += returned;
    account.committed -= returned;
    account.forfeited += unspent - returned;
    if (returned > 0) ended.returned[workspace] = returned;
    if (unspent > returned) ended.forfeited[workspace] = unspent - returned;
  }
  return ended;
}

/** Tokens that a life can't have spent within a time after its promise. */
function unspentAfter(
  {promise, granted, returned}: RouterTotals,
  milliseconds: number | undefined,
): number {
  if (milliseconds === undefined) return 0;
  const mostSpent = spendingLimit({at: 0, ...promise}, milliseconds);
  return Math.max(0, granted + promise.borrowed - returned - mostSpent);
}

function forgetLife(book: PrepaidState, router: string): void {
  delete book.routers[router];
  for (const account of Object.values(book.accounts)) {
    delete account.routers[router];
  }
}
