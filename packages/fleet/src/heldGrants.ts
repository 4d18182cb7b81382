/**
 * @fileoverview Tokens that a router may spend without asking the control plane,
 * in memory.
 *
 * A request reserves its maximum cost before it is sent, and settles what it
 * used. Totals never decrease; see `prepaidAccounts`. Committed tokens stay
 * within the limit of the router's commitments; see `spendingLimit`.
 */
import {type GrantOffer, type WorkspaceUsage} from '@dogwoodtrestle/schema';

import {RunningTime} from './runningTime.js';
import {
  available,
  createGrant,
  type Grant,
  limitOf,
  tokensAhead,
} from './workspaceGrant.js';

/** Factor of its target up to which a router keeps tokens. */
const keepFactor = 1.1;

/** Part of the spendable tokens that a loan may take beyond its least size. */
const maxLentShare = 0.2;

/** Seconds of its own demand that a router borrows beyond a request's need. */
const extraLoanSeconds = 0.5;

/** Unconfirmed commitments that are remembered for one workspace. */
const maxPendingCommitments = 16;

/** Tokens reserved for a request; settled once. */
export interface Reservation {
  workspace: string;
  tokens: number;
  /** Those of them that the request is known to have used. */
  used: number;
  isSettled: boolean;
}

/** Usage report of a router. */
export interface GrantReport {
  usages: WorkspaceUsage[];
  /** Time of a new commitment; missing while the last one isn't confirmed. */
  reportedAt?: number;
}

/** Terms of a loan that another router asks for. Amounts are in tokens. */
export interface LoanTerms {
  workspace: string;
  /** Tokens that the borrower's request lacks. */
  tokens: number;
  /** The most that is of use to the borrower soon. */
  wished: number;
  /** Whether fewer than `tokens` are of use, as others lend the rest. */
  isPartial: boolean;
}

/** What an incarnation that has ended spent, while its requests still end. */
export interface EndedGrants {
  /** Whether there are changes since the last report. */
  hasUnreported(): boolean;
  /** Whether all its requests have ended. */
  isSettled(): boolean;
  /** Creates a report without a commitment, of all workspaces. */
  report(): WorkspaceUsage[];
}

/**
 * The grants of a router's incarnation, and of the one that follows it in the same
 * process. Times are by the monotonic clock, in milliseconds.
 */
export class HeldGrants {
  private grants = new Map<string, Grant>();
  /** Grants of open requests, which may be those of an earlier incarnation. */
  private readonly reserved = new WeakMap<Reservation, Grant>();
  private readonly runningTime = new RunningTime();
  private isClosing = false;
  private isSuperseded = false;
  /** Time of the newest commitment, while no leader has replied since. */
  private unconfirmedAt?: number;

  /** Returns all tokens that are not reserved, now and as requests end. */
  close(): void {
    this.isClosing = true;
    for (const grant of this.grants.values()) this.returnSurplus(grant, 0);
  }

  /** Whether `close` was called. */
  get isClosed(): boolean {
    return this.isClosing;
  }

  /**
   * Stops all spending, as this incarnation was recorded as ended. Another one
   * follows, with the same demand and without tokens; it spends none until
   * `admit`.
   *
   * @returns What the ended incarnation holds for its open requests.
   */
  supersede(): EndedGrants {
    this.isSuperseded = true;
    this.unconfirmedAt = undefined;
    const ended = this.grants;
    this.grants = new Map();
    for (const [workspace, {wanted, slowRate, fastRate}] of ended) {
      Object.assign(this.grantOf(workspace), {wanted, slowRate, fastRate});
    }
    return endedGrants(ended);
  }

  /** Lets the incarnation that follows a superseded one spend its tokens. */
  admit(): void {
    this.isSuperseded = false;
  }

  /** Whether the incarnation was superseded, and none that follows is admitted. */
  get isOver(): boolean {
    return this.isSuperseded;
  }

  /** Whether there are changes that the leader has not recorded. */
  get hasUnreported(): boolean {
    if (this.unconfirmedAt !== undefined) return true;
    for (const {isChanged} of this.grants.values()) if (isChanged) return true;
    return false;
  }

  /** Reads the clock; call it often, so that running time is measured. */
  tick(now: number): void {
    this.runningTime.at(now);
  }

  /**
   * Reserves tokens, or returns undefined where too few may be spent now.
   *
   * @param isRetry Whether the same tokens were asked for before, so that they
   *     are not counted as demand again.
   */
  reserve(
    workspace: string,
    tokens: number,
    now: number,
    isRetry = false,
  ): Reservation | undefined {
    const grant = this.grantOf(workspace);
    if (!isRetry) {
      grant.slowRate.add(tokens, now);
      grant.fastRate.add(tokens, now);
    }
    grant.isChanged = true;
    if (this.spendableOf(grant, now) < tokens) return undefined;
    grant.reserved += tokens;
    const reservation = {workspace, tokens, used: 0, isSettled: false};
    this.reserved.set(reservation, grant);
    return reservation;
  }

  /** Unspent tokens of a workspace that are not reserved. */
  available(workspace: string): number {
    return available(this.grantOf(workspace));
  }

  /** Tokens that could be reserved now, by grant and spending limit. */
  spendable(workspace: string, now: number): number {
    return this.spendableOf(this.grantOf(workspace), now);
  }

  /** Whether a number of tokens could be reserved now. */
  canReserve(workspace: string, tokens: number, now: number): boolean {
    return this.spendableOf(this.grantOf(workspace), now) >= tokens;
  }

  /** Tokens to borrow for a request and for others that follow it soon. */
  loanSize(workspace: string, tokens: number, now: number): number {
    const rate = this.grantOf(workspace).slowRate.value(now);
    return Math.ceil(tokens + rate * extraLoanSeconds);
  }

  /**
   * Lends tokens to another router and returns their number: at least `tokens`,
   * or 0, or fewer if the loan may be partial. They are deducted here before the
   * borrower gets the reply, so that they are never counted at both.
   */
  lend({workspace, tokens, wished, isPartial}: LoanTerms, now: number): number {
    if (this.isClosing) return 0;
    const grant = this.grantOf(workspace);
    const spendable = Math.floor(this.spendableOf(grant, now));
    const isCovered = spendable >= tokens;
    const maxLent = Math.max(tokens, Math.floor(spendable * maxLentShare));
    const rest = isPartial ? spendable : 0;
    const lent = isCovered ? Math.min(wished, maxLent) : rest;
    if (lent === 0) return 0;
    grant.lent += lent;
    grant.isChanged = true;
    return lent;
  }

  /**
   * Returns the tokens that the leader must record as wanted here before a loan
   * is given, as the spending limit forbids it until then; 0 if the loan needs no
   * record, or if the grant doesn't cover it either.
   */
  unrecordedLoan(
    {workspace, tokens, isPartial}: LoanTerms,
    now: number,
  ): number {
    if (this.isClosing || this.isSuperseded) return 0;
    const grant = this.grantOf(workspace);
    if (this.spendableOf(grant, now) >= tokens) return 0;
    const covered = Math.max(0, Math.floor(available(grant)));
    if (covered >= tokens) return tokens;
    return isPartial ? covered : 0;
  }

  /** Adds tokens that another router lent. */
  borrow(workspace: string, tokens: number): void {
    const grant = this.grantOf(workspace);
    grant.borrowed += tokens;
    grant.isChanged = true;
    if (this.isClosing) this.returnSurplus(grant, 0);
  }

  /**
   * Records what an open request has used so far, so that it counts as used, not
   * as reserved, if this incarnation ends before the request.
   *
   * @param used Tokens used; rounded up, and limited to those reserved.
   */
  recordUse(reservation: Reservation, used: number): void {
    if (reservation.isSettled) return;
    const {workspace, tokens, used: known} = reservation;
    const total = Math.min(Math.ceil(used), tokens);
    if (total <= known) return;
    const grant = this.reserved.get(reservation) ?? this.grantOf(workspace);
    reservation.used = total;
    grant.reserved -= total - known;
    grant.used += total - known;
    grant.isChanged = true;
  }

  /**
   * Ends a reservation. Repeated calls change nothing.
   *
   * @param used Tokens used; rounded up, and limited to those reserved.
   */
  settle(reservation: Reservation, used: number): void {
    if (reservation.isSettled) return;
    this.recordUse(reservation, used);
    reservation.isSettled = true;
    const {workspace, tokens, used: total} = reservation;
    const grant = this.reserved.get(reservation) ?? this.grantOf(workspace);
    grant.reserved -= tokens - total;
    grant.isChanged = true;
    if (this.isClosing) this.returnSurplus(grant, 0);
  }

  /**
   * Adds tokens that a request waits for.
   *
   * @param tokens Negative once the request no longer waits.
   */
  want(workspace: string, tokens: number): void {
    const grant = this.grantOf(workspace);
    grant.wanted += tokens;
    grant.isChanged = true;
  }

  /** Unspent tokens of a workspace over all routers, and when it was asked for. */
  remaining(workspace: string): {tokens: number; askedAt: number} {
    const {remaining, remainingAt} = this.grantOf(workspace);
    return {tokens: remaining, askedAt: remainingAt};
  }

  /**
   * Creates a report, and makes a new commitment unless one is unconfirmed.
   *
   * @param isComplete Whether to include workspaces that have not changed.
   * @param aheadMilliseconds Time for which the demand is committed in advance,
   *     as reports take that much longer than usual to be confirmed.
   */
  report(isComplete: boolean, now: number, aheadMilliseconds = 0): GrantReport {
    const isCommitment = this.unconfirmedAt === undefined;
    const reportedAt = Math.floor(now);
    const at = this.runningTime.at(now);
    const usages: WorkspaceUsage[] = [];
    for (const [workspace, grant] of this.grants) {
      const rate = grant.slowRate.value(now);
      const recentRate = grant.fastRate.value(now);
      const {used, lent, borrowed, returned, reserved} = grant;
      const unreserved = Math.max(0, available(grant));
      const ahead = tokensAhead(recentRate, unreserved, aheadMilliseconds);
      const inAdvance = Math.min(unreserved, ahead);
      const cover = unreserved - inAdvance;
      const paced = Math.floor(cover * grant.pacedShare);
      const wanted = grant.wanted + inAdvance;
      const isIncluded = isComplete || grant.isChanged;
      if (isIncluded) {
        const totals = {used, lent, borrowed, returned};
        const open = {reserved, wanted, cover, paced};
        usages.push({workspace, ...totals, ...open, rate, recentRate});
      }
      if (!isCommitment) continue;
      const committed = used + lent + reserved + wanted;
      // A workspace that isn't included renews its commitment with the same
      // amounts.
      const commitment = isIncluded
        ? {at, reportedAt, committed, cover, paced, borrowed}
        : grant.confirmed && {...grant.confirmed, at, reportedAt};
      if (commitment !== undefined) grant.pending.push(commitment);
      if (grant.pending.length > maxPendingCommitments) grant.pending.shift();
      if (isIncluded) grant.isChanged = false;
    }
    if (!isCommitment) return {usages};
    this.unconfirmedAt = reportedAt;
    return {usages, reportedAt};
  }

  /**
   * Records that the leader has recorded a report. Replies may overtake each
   * other.
   *
   * @param reportedAt That of the report; undefined if it made no commitment.
   */
  confirm(reportedAt: number | undefined): void {
    if (reportedAt === undefined) {
      // The leader is reachable again, but may have missed earlier reports.
      for (const grant of this.grants.values()) grant.isChanged = true;
      this.unconfirmedAt = undefined;
      return;
    }
    if (reportedAt === this.unconfirmedAt) this.unconfirmedAt = undefined;
    for (const grant of this.grants.values()) {
      const confirmed = grant.pending.find(
        commitment => commitment.reportedAt === reportedAt,
      );
      if (confirmed === undefined) continue;
      grant.confirmed = confirmed;
      // The leader no longer records earlier ones.
      grant.pending = grant.pending.filter(
        commitment => commitment.reportedAt > reportedAt,
      );
    }
  }

  /**
   * Applies an offer of the leader, and returns surplus tokens. Of an offer that
   * a later one has overtaken, only the granted total counts.
   *
   * @param askedAt When the report was sent that the leader replied to.
   */
  accept(
    {workspace, granted, target, remaining, pacedShare = 1}: GrantOffer,
    askedAt: number,
  ): void {
    const grant = this.grantOf(workspace);
    grant.isChanged ||= granted > grant.granted;
    grant.granted = Math.max(grant.granted, granted);
    if (askedAt < grant.remainingAt) return;
    grant.remaining = remaining;
    grant.remainingAt = askedAt;
    grant.pacedShare = pacedShare;
    this.returnSurplus(grant, this.isClosing ? 0 : target * keepFactor);
  }

  /** Returns tokens beyond those to keep, unless requests wait for tokens. */
  private returnSurplus(grant: Grant, keep: number): void {
    if (grant.wanted > 0) return;
    const unreserved = available(grant);
    const surplus = Math.floor(unreserved + grant.reserved - keep);
    const returned = Math.min(surplus, unreserved);
    if (returned <= 0) return;
    grant.isChanged = true;
    grant.returned += returned;
  }

  /** Tokens that may be reserved or lent now, by grant and spending limit. */
  private spendableOf(grant: Grant, now: number): number {
    if (this.isSuperseded) return 0;
    const {used, lent, reserved} = grant;
    const limit = limitOf(grant, this.runningTime.at(now));
    const byLimit = limit - used - lent - reserved;
    return Math.max(0, Math.min(available(grant), byLimit));
  }

  private grantOf(workspace: string): Grant {
    let grant = this.grants.get(workspace);
    if (grant === undefined) {
      grant = createGrant();
      this.grants.set(workspace, grant);
    }
    return grant;
  }
}

function endedGrants(grants: ReadonlyMap<string, Grant>): EndedGrants {
  const all = [...grants.values()];
  for (const grant of all) grant.isChanged = true;
  return {
    hasUnreported: () => all.some(({isChanged}) => isChanged),
    isSettled: () => all.every(({reserved}) => reserved === 0),
    report: () =>
      [...grants].map(([workspace, grant]) => {
        grant.isChanged = false;
        const {used, lent, borrowed, returned, reserved} = grant;
        const totals = {used, lent, borrowed, returned};
        const open = {reserved, wanted: 0, cover: 0, paced: 0};
        return {workspace, ...totals, ...open, rate: 0, recentRate: 0};
      }),
  };
}
