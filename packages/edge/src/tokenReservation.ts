/**
 * @fileoverview Reserves a request's maximum token cost before it is sent.
 */
import {type Reservation} from '@dogwoodtrestle/fleet';

import {type EdgeContext} from './edgeContext.js';
import {type TokenDemand} from './loans.js';
import {type RefusalReason} from './refusal.js';
import {type RoutedRequest} from './routedRequest.js';

/**
 * Age up to which the leader's word that a total is used up makes it useless to
 * ask other routers: two report intervals.
 */
const remainingValidMilliseconds = 800;

/** Pause before a reservation that exceeded the grant is tried again. */
const grantRetryIntervalMilliseconds = 30;

/** Interval at which a waiting request looks for tokens of late loans. */
const grantPollMilliseconds = 60;

/** Tokens to reserve; undefined if the workspace has no prepaid total. */
export function tokensToReserve({
  workspace,
  request,
}: RoutedRequest): TokenDemand | undefined {
  const {generation, attemptId} = request;
  if (workspace?.prepaidTokens === undefined || generation === undefined) {
    return undefined;
  }
  const tokens = generation.promptTokens + generation.maxOutputTokens;
  return {workspace: workspace.name, tokens, request: attemptId};
}

/**
 * Where the tokens are that a refused request lacks, for the logs: the total is
 * used up where `remaining` is below `needed`, else other routers hold them.
 */
export interface TokenShortage {
  needed: number;
  /** Tokens of this router that are not reserved. */
  available: number;
  /** Those of them that its spending limit allows now. */
  spendable: number;
  /** Unspent tokens at all routers and those not granted, by the leader. */
  remaining: number;
  /** Age of `remaining`; missing if the leader was never heard. */
  remainingAgeMilliseconds?: number;
  /** Usual time until the leader confirms a report. */
  reportDelayMilliseconds: number;
}

/** The reservation, or why there is none. */
export type ReservationResult =
  | {reservation: Reservation}
  | {refusal: RefusalReason; shortage: TokenShortage};

/** Components that reservations need. */
export type ReservationContext = Pick<
  EdgeContext,
  'grants' | 'clock' | 'control' | 'loans' | 'options'
>;

/**
 * Reserves tokens of a workspace. If the grant is too small, borrows from the
 * workspace's holders, then requests more from the leader while connected, and
 * waits for late replies. The leader alone is asked if only the spending limit forbids the reservation, or
 * if the total doesn't cover it.
 *
 * @param isOver Whether the request has ended in the meantime.
 */
export async function reserveTokens(
  context: ReservationContext,
  demand: TokenDemand,
  isOver: () => boolean,
): Promise<ReservationResult> {
  const {grants, clock, control, loans} = context;
  const {workspace, tokens} = demand;
  const reservation = grants.reserve(workspace, tokens, clock.now());
  if (reservation !== undefined) return {reservation};
  if (control.isConnected && needsOnlyLeader(context, demand)) {
    return awaitTokens(context, demand, isOver);
  }
  const hasBorrowed = await loans.borrow(demand, !control.isConnected, isOver);
  if (isOver()) return refuse(context, demand, 'grantUnavailable');
  if (hasBorrowed) {
    const reservation = grants.reserve(workspace, tokens, clock.now(), true);
    if (reservation !== undefined) return {reservation};
  }
  return control.isConnected || loans.isPending(workspace)
    ? awaitTokens(context, demand, isOver)
    : refuse(context, demand, 'grantUnavailable');
}

function needsOnlyLeader(
  {grants, clock}: ReservationContext,
  {workspace, tokens}: TokenDemand,
): boolean {
  if (grants.available(workspace) >= tokens) return true;
  const {tokens: remaining, askedAt} = grants.remaining(workspace);
  const age = clock.now() - askedAt;
  return remaining < tokens && age <= remainingValidMilliseconds;
}

/** Waits for tokens of the leader, and of loans whose reply is late. */
async function awaitTokens(
  context: ReservationContext,
  demand: TokenDemand,
  isOver: () => boolean,
): Promise<ReservationResult> {
  const {grants, clock, control, loans} = context;
  const {workspace, tokens} = demand;
  const askedAt = clock.now();
  const limit = askedAt + waitMilliseconds(context);
  grants.want(workspace, tokens);
  try {
    while (!isOver()) {
      const rest = limit - clock.now();
      const poll = pause(context, Math.min(rest, grantPollMilliseconds));
      await (control.isConnected
        ? Promise.race([control.report(), poll])
        : poll);
      const now = clock.now();
      const reservation = grants.reserve(workspace, tokens, now, true);
      if (reservation !== undefined) return {reservation};
      const {tokens: remaining, askedAt: remainingAt} =
        grants.remaining(workspace);
      if (remainingAt >= askedAt && remaining < tokens) {
        return refuse(context, demand, 'prepaidExhausted');
      }
      const maySupply = control.isConnected || loans.isPending(workspace);
      if (now >= limit || !maySupply) break;
      await pause(
        context,
        Math.min(grantRetryIntervalMilliseconds, limit - now),
      );
    }
    return refuse(context, demand, 'grantUnavailable');
  } finally {
    grants.want(workspace, -tokens);
  }
}

/** Time that a request waits: longer where replies of the leader are slow. */
function waitMilliseconds({control, options}: ReservationContext): number {
  const {grantWaitMilliseconds, maxGrantWaitMilliseconds} = options;
  // A report that is under way doesn't name the request's tokens yet.
  const wait = 2 * control.reportDelayMilliseconds;
  return Math.min(
    maxGrantWaitMilliseconds,
    Math.max(grantWaitMilliseconds, wait),
  );
}

function refuse(
  {grants, clock, control}: ReservationContext,
  {workspace, tokens: needed}: TokenDemand,
  refusal: RefusalReason,
): ReservationResult {
  const now = clock.now();
  const {tokens: remaining, askedAt} = grants.remaining(workspace);
  const age = now - askedAt;
  const shortage = {
    needed,
    available: Math.round(grants.available(workspace)),
    spendable: Math.round(grants.spendable(workspace, now)),
    remaining,
    remainingAgeMilliseconds: Number.isFinite(age)
      ? Math.round(age)
      : undefined,
    reportDelayMilliseconds: Math.round(control.reportDelayMilliseconds),
  };
  return {refusal, shortage};
}

function pause(
  {clock}: ReservationContext,
  milliseconds: number,
): Promise<void> {
  return new Promise(resolve => {
    clock.setTimer(Math.max(0, milliseconds), resolve);
  });
}
