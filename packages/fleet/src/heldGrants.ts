/**
 * @fileoverview Tokens that a router may spend without asking, in memory.
 *
 * A request reserves the most that it can cost before it is sent, and settles
 * what it used. All totals only rise; see `prepaidAccounts`. What is committed
 * stays within the pace that was promised; see `spendingPace`.
 */
import {type GrantOffer, type WorkspaceUsage} from '@dogwoodtrestle/schema';

import {DecayingRate} from './decayingRate.js';
import {RunningTime} from './runningTime.js';
import {spendingLimit, type SpendingCommitment} from './spendingLimit.js';

/** Totals of one workspace. */
interface Grant {
  granted: number;
  /** Tokens that other routers lent. */
  borrowed: number;
  /** Tokens that requests used. */
  used: number;
  /** Tokens that other routers borrowed. */
  lent: number;
  returned: number;
  reserved: number;
  /** Tokens that requests wait for. */
  wanted: number;
  /** Unspent tokens of the workspace as last told. */
  remaining: number;
  toldAt: number;
  /** Usual demand, and demand of late. */
  slowRate: DecayingRate;
  fastRate: DecayingRate;
  /** Whether it changed since the newest recorded promise. */
  isChanged: boolean;
  /** The newest promise that is known to be recorded. */
  confirmed?: GrantPromise;
  /** A later promise that may be recorded or not. */
  pending?: GrantPromise;
}

/** A promise, and the tokens that it knows of. Its time is running time. */
interface GrantPromise extends SpendingCommitment {
  /** Time of the steady clock, by which the leader knows it. */
  reportedAt: number;
  /** Total borrowed by then; later loans aren't bound by the promise. */
  borrowed: number;
}

/** Time constant of the usual demand: long enough for rare large requests. */
const slowWindowMilliseconds = 12_000;

/** Time constant of demand of late, which follows a workspace that surges. */
const fastWindowMilliseconds = 3_000;

/** Surplus over its target that a router keeps, as a factor. */
const keepFactor = 1.1;

/** Part of what a router could reserve that it lends beyond what is needed. */
const lentShare = 0.2;

/** Seconds of its own demand that a router borrows beyond what it needs. */
const borrowedSeconds = 0.5;

/** A reservation; settled once. */
export interface Reservation {
  workspace: string;
  tokens: number;
  isSettled: boolean;
}

/** What a router reports. */
export interface GrantReport {
  usages: WorkspaceUsage[];
  /** Start of a new promise; missing while the last one isn't confirmed. */
  reportedAt?: number;
}

/** All grants of one life of a router. Times are of its steady clock. */
export class HeldGrants {
  private readonly grants = new Map<string, Grant>();
  private readonly running = new RunningTime();
  private isClosing = false;
  private isSuperseded = false;
  /** Time of a promise that may or may not be recorded. */
  private unconfirmedAt?: number;

  /** Gives back all that is not reserved, now and as requests end. */
  close(): void {
    this.isClosing = true;
    for (const grant of this.grants.values()) this.returnSurplus(grant, 0);
  }

  get isClosed(): boolean {
    return this.isClosing;
  }

  /** Another life of the instance has begun; nothing may be spent any more. */
  supersede(): void {
    this.isSuperseded = true;
    this.grants.clear();
  }

  get isOver(): boolean {
    return this.isSuperseded;
  }

  /** Whether there is anything that the leader has not recorded. */
  get hasUnreported(): boolean {
    if (this.unconfirmedAt !== undefined) return true;
    for (const {isChanged} of this.grants.values()) if (isChanged) return true;
    return false;
  }

  /** Looks at the clock, so that the process is known to run. */
  tick(now: number): void {
    this.running.at(now);
  }

  /** Reserves tokens, or returns undefined where the grant is too small. */
  reserve(
    workspace: string,
    tokens: number,
    now: number,
    isRepeat = false,
  ): Reservation | undefined {
    const grant = this.grantOf(workspace);
    if (!isRepeat) {
      grant.slowRate.add(tokens, now);
      grant.fastRate.add(tokens, now);
    }
    grant.isChanged = true;
    if (this.roomOf(grant, now) < tokens) return undefined;
    grant.reserved += tokens;
    return {workspace, tokens, isSettled: false};
  }

  /** Unspent tokens that are not reserved. */
  available(workspace: string): number {
    return available(this.grantOf(workspace));
  }

  /** Whether so many tokens could be reserved now. */
  canReserve(workspace: string, tokens: number, now: number): boolean {
    return this.roomOf(this.grantOf(workspace), now) >= tokens;
  }

  /** Tokens worth borrowing for a request and others that follow it soon. */
  loanSize(workspace: string, tokens: number, now: number): number {
    const rate = this.grantOf(workspace).slowRate.value(now);
    return Math.ceil(tokens + rate * borrowedSeconds);
  }

  /**
   * Lends at least some tokens to another router, or none. They leave these
   * books before the borrower hears of them, so that nobody has them twice.
   */
  lend(workspace: string, tokens: number, wished: number, now: number): number {
    const grant = this.grantOf(workspace);
    const room = Math.floor(this.roomOf(grant, now));
    if (this.isClosing || room < tokens) return 0;
    const most = Math.max(tokens, Math.floor(room * lentShare));
    const lent = Math.min(wished, most);
    grant.lent += lent;
    grant.isChanged = true;
    return lent;
  }

  /** Takes over tokens that another router lent. */
  borrow(workspace: string, tokens: number): void {
    const grant = this.grantOf(workspace);
    grant.borrowed += tokens;
    grant.isChanged = true;
    if (this.isClosing) this.returnSurplus(grant, 0);
  }

  /** Ends a reservation; `used` is at most what was reserved. */
  settle(reservation: Reservation, used: number): void {
    if (reservation.isSettled) return;
    reservation.isSettled = true;
    const grant = this.grantOf(reservation.workspace);
    grant.reserved -= reservation.tokens;
    grant.used += Math.min(Math.ceil(used), reservation.tokens);
    grant.isChanged = true;
    if (this.isClosing) this.returnSurplus(grant, 0);
  }

  /** Counts tokens that a request waits for; negative once it gave up. */
  want(workspace: string, tokens: number): void {
    const grant = this.grantOf(workspace);
    grant.wanted += tokens;
    grant.isChanged = true;
  }

  /** Unspent tokens of a workspace over all routers, and when it was told. */
  remaining(workspace: string): {tokens: number; receivedAt: number} {
    const {remaining, toldAt} = this.grantOf(workspace);
    return {tokens: remaining, receivedAt: toldAt};
  }

  /** Begins a report: the workspaces that changed, or all of them. */
  report(isComplete: boolean, now: number): GrantReport {
    const isPromise = this.unconfirmedAt === undefined;
    const reportedAt = Math.floor(now);
    const at = this.running.at(now);
    const usages: WorkspaceUsage[] = [];
    for (const [workspace, grant] of this.grants) {
      const rate = grant.slowRate.value(now);
      const recentRate = grant.fastRate.value(now);
      const {used, lent, borrowed, returned, reserved, wanted} = grant;
      const cover = Math.max(0, available(grant));
      const isListed = isComplete || grant.isChanged;
      if (isListed) {
        const totals = {used, lent, borrowed, returned};
        const open = {reserved, wanted, cover};
        usages.push({workspace, ...totals, ...open, rate, recentRate});
      }
      if (!isPromise) continue;
      const committed = used + lent + reserved + wanted;
      // What isn't listed stays promised as it was, from now on.
      grant.pending = isListed
        ? {at, reportedAt, committed, cover, borrowed}
        : grant.confirmed && {...grant.confirmed, at, reportedAt};
      if (isListed) grant.isChanged = false;
    }
    if (!isPromise) return {usages};
    this.unconfirmedAt = reportedAt;
    return {usages, reportedAt};
  }

  /** A report was recorded. */
  confirm(reportedAt: number | undefined): void {
    if (reportedAt === undefined) {
      // The leader is heard again; what it missed is reported anew.
      for (const grant of this.grants.values()) grant.isChanged = true;
      this.unconfirmedAt = undefined;
      return;
    }
    this.unconfirmedAt = undefined;
    for (const grant of this.grants.values()) {
      if (grant.pending?.reportedAt !== reportedAt) continue;
      grant.confirmed = grant.pending;
      grant.pending = undefined;
    }
  }

  /** Takes over what was granted, and returns what is too much. */
  accept(
    {workspace, granted, target, remaining}: GrantOffer,
    now: number,
  ): void {
    const grant = this.grantOf(workspace);
    grant.isChanged ||= granted > grant.granted;
    grant.granted = Math.max(grant.granted, granted);
    grant.remaining = remaining;
    grant.toldAt = now;
    this.returnSurplus(grant, this.isClosing ? 0 : target * keepFactor);
  }

  /** Returns what a workspace holds beyond some tokens, unless it lacks any. */
  private returnSurplus(grant: Grant, keep: number): void {
    if (grant.wanted > 0) return;
    const free = available(grant);
    const surplus = Math.floor(free + grant.reserved - keep);
    const returned = Math.min(surplus, free);
    if (returned <= 0) return;
    grant.isChanged = true;
    grant.returned += returned;
  }

  /** Tokens that may be reserved or lent now, by the grant and by the pace. */
  private roomOf(grant: Grant, now: number): number {
    if (this.isSuperseded) return 0;
    const {used, lent, reserved} = grant;
    const limit = limitOf(grant, this.running.at(now));
    const byPace = limit - used - lent - reserved;
    return Math.max(0, Math.min(available(grant), byPace));
  }

  private grantOf(workspace: string): Grant {
    let grant = this.grants.get(workspace);
    if (grant === undefined) {
      grant = {
        granted: 0,
        borrowed: 0,
        used: 0,
        lent: 0,
        returned: 0,
        reserved: 0,
        wanted: 0,
        remaining: 0,
        toldAt: -Infinity,
        slowRate: new DecayingRate(slowWindowMilliseconds),
        fastRate: new DecayingRate(fastWindowMilliseconds),
        isChanged: true,
      };
      this.grants.set(workspace, grant);
    }
    return grant;
  }
}

/** Unspent tokens that are not reserved. */
function available(grant: Grant): number {
  const {granted, borrowed, used, lent, returned, reserved} = grant;
  return granted + borrowed - used - lent - returned - reserved;
}

/**
 * Most that may be committed, whichever promise is recorded.
 *
 * @param now Running time.
 */
function limitOf({confirmed, pending, borrowed}: Grant, now: number): number {
  const limitBy = (promise: GrantPromise) =>
    spendingLimit(promise, now) + borrowed - promise.borrowed;
  // Without a promise nothing is recorded that the books could take back.
  const limit = confirmed === undefined ? borrowed : limitBy(confirmed);
  return pending === undefined ? limit : Math.min(limit, limitBy(pending));
}
