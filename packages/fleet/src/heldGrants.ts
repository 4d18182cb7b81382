/**
 * @fileoverview Tokens that a router may spend without asking, in memory.
 *
 * A request reserves the most that it can cost before it is sent, and settles
 * what it used. All totals only rise; see `prepaidAccounts`.
 */
import {type GrantOffer, type WorkspaceUsage} from '@dogwoodtrestle/schema';

import {DecayingRate} from './decayingRate.js';

/** Totals of one workspace. */
interface Grant {
  granted: number;
  spent: number;
  returned: number;
  reserved: number;
  /** Tokens that requests wait for. */
  wanted: number;
  /** Unspent tokens of the workspace as last told. */
  remaining: number;
  toldAt: number;
  rate: DecayingRate;
  isChanged: boolean;
}

/** Time constant of the demand that grants are sized by. */
const rateWindowMilliseconds = 4_000;

/** Surplus over its target that a router keeps, as a factor. */
const keepFactor = 1.25;

/** A reservation; settled once. */
export interface Reservation {
  workspace: string;
  tokens: number;
  isSettled: boolean;
}

/** All grants of one life of a router. */
export class HeldGrants {
  private readonly grants = new Map<string, Grant>();
  private isClosing = false;

  /** Gives back all that is not reserved, now and as requests end. */
  close(): void {
    this.isClosing = true;
    for (const grant of this.grants.values()) this.returnSurplus(grant, 0);
  }

  get isClosed(): boolean {
    return this.isClosing;
  }

  /** Reserves tokens, or returns undefined where the grant is too small. */
  reserve(
    workspace: string,
    tokens: number,
    now: number,
    isRepeat = false,
  ): Reservation | undefined {
    const grant = this.grantOf(workspace);
    if (!isRepeat) grant.rate.add(tokens, now);
    grant.isChanged = true;
    if (available(grant) < tokens) return undefined;
    grant.reserved += tokens;
    return {workspace, tokens, isSettled: false};
  }

  /** Ends a reservation; `used` is at most what was reserved. */
  settle(reservation: Reservation, used: number): void {
    if (reservation.isSettled) return;
    reservation.isSettled = true;
    const grant = this.grantOf(reservation.workspace);
    grant.reserved -= reservation.tokens;
    grant.spent += Math.min(Math.ceil(used), reservation.tokens);
    grant.isChanged = true;
    if (this.isClosing) this.returnSurplus(grant, 0);
  }

  /** Counts tokens that a request waits for; negative once it gave up. */
  want(workspace: string, tokens: number): void {
    const grant = this.grantOf(workspace);
    grant.wanted += tokens;
    grant.isChanged = true;
  }

  /** Tokens that may be reserved now. */
  available(workspace: string): number {
    return available(this.grantOf(workspace));
  }

  /** Unspent tokens of a workspace over all routers, and when it was told. */
  remaining(workspace: string): {tokens: number; toldAt: number} {
    const {remaining, toldAt} = this.grantOf(workspace);
    return {tokens: remaining, toldAt};
  }

  /** Usage that the replicated ledger wasn't told yet, or of all workspaces. */
  usages(isComplete: boolean, now: number): WorkspaceUsage[] {
    const usages: WorkspaceUsage[] = [];
    for (const [workspace, grant] of this.grants) {
      const rate = grant.rate.value(now);
      if (!isComplete && !grant.isChanged && rate < 1) continue;
      grant.isChanged = false;
      const {spent, returned, reserved, wanted} = grant;
      usages.push({workspace, spent, returned, reserved, wanted, rate});
    }
    return usages;
  }

  /** Names of workspaces whose requests wait for tokens. */
  get isWanting(): boolean {
    return [...this.grants.values()].some(({wanted}) => wanted > 0);
  }

  /** Takes over what was granted, and returns what is too much. */
  accept(
    {workspace, granted, target, remaining}: GrantOffer,
    now: number,
  ): void {
    const grant = this.grantOf(workspace);
    grant.granted = Math.max(grant.granted, granted);
    grant.remaining = remaining;
    grant.toldAt = now;
    this.returnSurplus(grant, this.isClosing ? 0 : target * keepFactor);
  }

  /** Returns what a workspace holds beyond some tokens, unless it lacks any. */
  private returnSurplus(grant: Grant, keep: number): void {
    const unspent = grant.granted - grant.spent - grant.returned;
    const surplus = Math.min(unspent - Math.ceil(keep), available(grant));
    if (surplus <= 0 || grant.wanted > 0) return;
    grant.returned += Math.floor(surplus);
    grant.isChanged = true;
  }

  private grantOf(workspace: string): Grant {
    let grant = this.grants.get(workspace);
    if (grant === undefined) {
      grant = {
        granted: 0,
        spent: 0,
        returned: 0,
        reserved: 0,
        wanted: 0,
        remaining: 0,
        toldAt: -Infinity,
        rate: new DecayingRate(rateWindowMilliseconds),
        isChanged: true,
      };
      this.grants.set(workspace, grant);
    }
    return grant;
  }
}

function available({granted, spent, returned, reserved}: Grant): number {
  return granted - spent - returned - reserved;
}
