/**
 * @fileoverview The replicated state of prepaid totals: what each router was
 * granted from a workspace's total, and what it reported as used, lent,
 * borrowed and returned.
 *
 * All amounts of a router are totals of one incarnation (one run of its
 * process) and never decrease, so messages may be duplicated, lost or
 * reordered. Tokens granted and not returned count as spent, so a partitioned
 * router can't cause an overspend. When another incarnation starts on the same
 * instance, the tokens that the earlier one can't have spent are returned to
 * the total; see `spendingLimit` and `unreportedTime`.
 */
import {
  type RecordUsage,
  type RouterLife,
  type UsageEntry,
} from '@dogwoodtrestle/schema';

import {createNameTable} from './nameTable.js';
import {spendingLimit} from './spendingLimit.js';
import {
  type CommitmentTime,
  type SuccessorReport,
  type UnreportedTime,
  boundUnreportedTime,
} from './unreportedTime.js';

/** Totals of one router incarnation in one workspace, in tokens. */
export interface RouterTotals {
  granted: number;
  /** Borrowed from other routers. */
  borrowed: number;
  /** Used by requests. */
  used: number;
  /** Lent to other routers. */
  lent: number;
  returned: number;
  /** The newest recorded commitment. */
  promise: RecordedCommitment;
}

/**
 * The commitment of a router that bounds what it spends unreported; see
 * `spendingLimit`. Amounts are in tokens.
 */
export interface RecordedCommitment {
  /** Used, lent, reserved and wanted when the commitment was made. */
  committed: number;
  /** Those of them that no request had yet; missing if unknown. */
  waiting?: number;
  /** Unspent tokens that become spendable over time. */
  cover: number;
  /** Those of them that become spendable at the pace of demand. */
  paced: number;
  /** Borrowed by then; tokens borrowed later aren't limited. */
  borrowed: number;
}

/** One incarnation of a router. */
export interface RouterIncarnation {
  life: RouterLife;
  /** Time of its newest recorded commitment. */
  promisedAt: CommitmentTime;
  /** Whether another incarnation has started on its instance. */
  isOver: boolean;
  /** Time of the newest change by the replicated log, in milliseconds. */
  changedAt: number;
}

/** Sums over all router incarnations, past ones included, in tokens. */
export interface AccountSums {
  /** Granted and not returned. */
  committed: number;
  used: number;
  lent: number;
  borrowed: number;
  /** Unspent tokens of ended incarnations that permanently count as spent. */
  forfeited: number;
}

/** Grants of one workspace, by router incarnation. */
export interface PrepaidAccount extends AccountSums {
  routers: Record<string, RouterTotals>;
}

/**
 * Accounts by workspace, and router incarnations by name. Part of the
 * replicated snapshot, so it must stay a JSON value.
 */
export interface PrepaidState {
  accounts: Record<string, PrepaidAccount>;
  routers: Record<string, RouterIncarnation>;
}

/** Result of one usage entry. */
export interface UsageOutcome {
  workspace: string;
  /** Total granted to the incarnation, in tokens. */
  granted: number;
}

/** An incarnation that was ended by the next one on its instance. */
export interface EndedIncarnation extends UnreportedTime {
  router: string;
  instance: string;
  /** Tokens returned to the prepaid totals, by workspace. */
  returned: Record<string, number>;
  /** Unspent tokens that permanently count as spent, by workspace. */
  forfeited: Record<string, number>;
  /** What these may have been spent on, summed over all workspaces. */
  causes: ForfeitCauses;
}

/** Tokens that an ended incarnation may have spent, by what on. */
export interface ForfeitCauses {
  /** Reserved by requests under way at its newest commitment. */
  underWay: number;
  /** Committed in advance to requests that waited for tokens, or to come. */
  waiting: number;
  /** Allowed by the spending limit for the time after that. */
  window: number;
}

/**
 * A report of more tokens spent than the incarnation had. Correct routers never
 * send one.
 */
export interface Overspend {
  workspace: string;
  router: string;
  /** Whether another incarnation of the instance had started by then. */
  isOver: boolean;
  /** Tokens beyond those that the incarnation had. */
  excess: number;
}

/** Result of one report. */
export interface UsageResult {
  outcomes: UsageOutcome[];
  ended: EndedIncarnation[];
  breaches: Overspend[];
}

/** Time after which ended incarnations are removed from the state. */
const forgetIncarnationAfterMilliseconds = 3_600_000;

/** Returns the state before any router has reported. */
export function emptyPrepaidState(): PrepaidState {
  return {accounts: createNameTable(), routers: createNameTable()};
}

/** Returns a state that was read as JSON. */
export function restoredPrepaidState({
  accounts,
  routers,
}: PrepaidState): PrepaidState {
  const restored = createNameTable<PrepaidAccount>();
  for (const [workspace, account] of Object.entries(accounts)) {
    const routersOfAccount = createNameTable(account.routers);
    restored[workspace] = {...account, routers: routersOfAccount};
  }
  return {accounts: restored, routers: createNameTable(routers)};
}

function emptyAccount(): PrepaidAccount {
  return {
    committed: 0,
    used: 0,
    lent: 0,
    borrowed: 0,
    forfeited: 0,
    routers: createNameTable(),
  };
}

/**
 * Records the totals that a router reported and grants it more tokens, up to
 * the prepaid totals. A report of an ended incarnation changes no totals. Changes
 * the state in place.
 *
 * @param prepaidOf Prepaid total of a workspace in tokens; Infinity where it is
 *     unlimited.
 * @param now Time by the replicated log, in milliseconds.
 */
export function recordUsage(
  state: PrepaidState,
  command: RecordUsage,
  prepaidOf: (workspace: string) => number,
  now: number,
): UsageResult {
  const {router, reportedAt, entries} = command;
  const ended: EndedIncarnation[] = [];
  const breaches: Overspend[] = [];
  const incarnation = openIncarnation(state, command, now, ended);
  incarnation.changedAt = now;
  const isCommitment =
    !incarnation.isOver &&
    reportedAt !== undefined &&
    reportedAt >= incarnation.promisedAt.at;
  if (isCommitment) {
    const {reportedWallAt: wallAt, leaderTime} = command;
    incarnation.promisedAt = {at: reportedAt, wallAt, leaderTime};
  }
  const outcomes = entries.map(entry => {
    const account = (state.accounts[entry.workspace] ??= emptyAccount());
    const totals = (account.routers[router] ??= {
      granted: 0,
      borrowed: 0,
      used: 0,
      lent: 0,
      returned: 0,
      promise: {committed: 0, cover: 0, paced: 0, borrowed: 0},
    });
    const excess = overspentTokens(totals, entry);
    if (excess > 0) {
      const {workspace} = entry;
      breaches.push({workspace, router, isOver: incarnation.isOver, excess});
    }
    if (!incarnation.isOver) {
      if (isCommitment) {
        const {committed, waiting, cover, paced = 0, borrowed} = entry;
        totals.promise = {committed, waiting, cover, paced, borrowed};
      }
      updateTotals(account, totals, entry, prepaidOf(entry.workspace));
    }
    return {workspace: entry.workspace, granted: totals.granted};
  });
  return {outcomes, ended, breaches};
}

/** Tokens of a prepaid total that are not granted to any router. */
export function ungranted(
  account: PrepaidAccount | undefined,
  prepaid: number,
): number {
  return Math.max(0, prepaid - (account?.committed ?? 0));
}

/** Totals that are summed over all incarnations as they increase. */
const summedTotals = ['used', 'lent', 'borrowed'] as const;

/** Unspent tokens of all live incarnations by their newest reports. */
export function heldOf(account: PrepaidAccount): number {
  const {committed, used, lent, borrowed, forfeited} = account;
  return committed + borrowed - used - lent - forfeited;
}

/** Unspent tokens of an incarnation by its newest report. */
export function unspentOf(totals: Omit<RouterTotals, 'promise'>): number {
  const {granted, borrowed, used, lent, returned} = totals;
  return granted + borrowed - used - lent - returned;
}

/** Tokens reported as spent beyond those that the incarnation had. */
function overspentTokens(totals: RouterTotals, entry: UsageEntry): number {
  const {granted, returned} = totals;
  const borrowed = Math.max(totals.borrowed, entry.borrowed);
  const {used, lent} = entry;
  return -unspentOf({granted, borrowed, used, lent, returned});
}

function updateTotals(
  account: PrepaidAccount,
  totals: RouterTotals,
  entry: UsageEntry,
  prepaid: number,
): void {
  for (const name of summedTotals) {
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
  const requested = Math.max(0, entry.grantUpTo - totals.granted);
  const available = Math.max(0, prepaid - account.committed);
  const granted = Math.floor(Math.min(requested, available));
  totals.granted += granted;
  account.committed += granted;
}

/**
 * Returns an incarnation. A new one ends the others of its instance, unless its
 * first report comes after that of its successor.
 */
function openIncarnation(
  state: PrepaidState,
  command: RecordUsage,
  now: number,
  ended: EndedIncarnation[],
): RouterIncarnation {
  const {router, life} = command;
  const known = state.routers[router];
  if (known !== undefined) return known;
  const hasSuccessor = Object.values(state.routers).some(other =>
    isLater(other.life, life),
  );
  for (const [other, incarnation] of Object.entries(state.routers)) {
    const isSameInstance = incarnation.life.instance === life.instance;
    if (isSameInstance && !incarnation.isOver && !hasSuccessor) {
      ended.push(endIncarnation(state, other, incarnation, command));
    }
    const age = now - incarnation.changedAt;
    if (incarnation.isOver && age > forgetIncarnationAfterMilliseconds) {
      forgetIncarnation(state, other);
    }
  }
  const incarnation: RouterIncarnation = {
    life,
    promisedAt: {at: life.startedAt, wallAt: life.wallStartedAt},
    isOver: hasSuccessor,
    changedAt: now,
  };
  state.routers[router] = incarnation;
  return incarnation;
}

/**
 * Whether an incarnation started later than another one of its instance. After a
 * loss of power the monotonic clock may keep its id and read less, so the wall
 * clock must agree.
 */
function isLater(life: RouterLife, other: RouterLife): boolean {
  if (life.instance !== other.instance || life.clock !== other.clock) {
    return false;
  }
  const {wallStartedAt = -Infinity} = life;
  return (
    life.startedAt > other.startedAt &&
    wallStartedAt > (other.wallStartedAt ?? Infinity)
  );
}

/** Returns the tokens that an incarnation can't have spent before its end. */
function endIncarnation(
  state: PrepaidState,
  router: string,
  incarnation: RouterIncarnation,
  report: SuccessorReport,
): EndedIncarnation {
  incarnation.isOver = true;
  const {life, promisedAt} = incarnation;
  const unreported = boundUnreportedTime(life, promisedAt, report);
  const ended: EndedIncarnation = {
    router,
    instance: life.instance,
    ...unreported,
    returned: createNameTable(),
    forfeited: createNameTable(),
    causes: {underWay: 0, waiting: 0, window: 0},
  };
  for (const [workspace, account] of Object.entries(state.accounts)) {
    const totals = account.routers[router];
    if (totals === undefined) continue;
    const unspent = unspentOf(totals);
    const returned = Math.min(
      unspent,
      unspendableAfter(totals, unreported.milliseconds),
    );
    totals.returned += returned;
    account.committed -= returned;
    account.forfeited += unspent - returned;
    if (returned > 0) ended.returned[workspace] = returned;
    if (unspent > returned) ended.forfeited[workspace] = unspent - returned;
    addCauses(ended.causes, totals, unspent - returned);
  }
  return ended;
}

/** Adds the causes of an incarnation's forfeited tokens of one workspace. */
function addCauses(
  causes: ForfeitCauses,
  {promise, used, lent}: RouterTotals,
  forfeited: number,
): void {
  const {committed, waiting: notStarted = 0} = promise;
  const reserved = Math.max(0, committed - notStarted - used - lent);
  const underWay = Math.min(forfeited, reserved);
  const waiting = Math.min(forfeited - underWay, notStarted);
  causes.underWay += underWay;
  causes.waiting += waiting;
  causes.window += forfeited - underWay - waiting;
}

/** Tokens that can't have been spent within a time after the commitment. */
function unspendableAfter(
  {promise, granted, returned}: RouterTotals,
  milliseconds: number | undefined,
): number {
  if (milliseconds === undefined) return 0;
  const maxSpent = spendingLimit({at: 0, ...promise}, milliseconds);
  return Math.max(0, granted + promise.borrowed - returned - maxSpent);
}

function forgetIncarnation(state: PrepaidState, router: string): void {
  delete state.routers[router];
  for (const account of Object.values(state.accounts)) {
    delete account.routers[router];
  }
}
