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
 * workspace's holders, then requests more from the leader while connected. The
 * leader alone is asked if only the spending limit forbids the reservation, or
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
    return reserveFromLeader(context, demand, isOver);
  }
  const hasBorrowed = await loans.borrow(demand, !control.isConnected, isOver);
  if (isOver()) return refuse(context, demand, 'grantUnavailable');
  if (hasBorrowed) {
    const reservation = grants.reserve(workspace, tokens, clock.now(), true);
    if (reservation !== undefined) return {reservation};
  }
  return control.isConnected
    ? reserveFromLeader(context, demand, isOver)
    : refuse(context, demand, 'grantUnavailable');
}

function needsOnlyLeader(
  {grants, clock}: ReservationContext,
  {workspace, tokens}: TokenDemand,
): boolean {
  if (grants.available(workspace) >= tokens) return true;
  const {tokens: remaining, receivedAt} = grants.remaining(workspace);
  const age = clock.now() - receivedAt;
  return remaining < tokens && age <= remainingValidMilliseconds;
}

async function reserveFromLeader(
  context: ReservationContext,
  demand: TokenDemand,
  isOver: () => boolean,
): Promise<ReservationResult> {
  const {grants, clock, control, options} = context;
  const {workspace, tokens} = demand;
  const askedAt = clock.now();
  const limit = askedAt + options.grantWaitMilliseconds;
  grants.want(workspace, tokens);
  try {
    while (!isOver()) {
      const rest = limit - clock.now();
      await Promise.race([control.report(), pause(context, rest)]);
      const now = clock.now();
      const reservation = grants.reserve(workspace, tokens, now, true);
      if (reservation !== undefined) return {reservation};
      const {tokens: remaining, receivedAt} = grants.remaining(workspace);
      if (receivedAt >= askedAt && remaining < tokens) {
        return refuse(context, demand, 'prepaidExhausted');
      }
      if (now >= limit || !control.isConnected) break;
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

function refuse(
  {grants, clock}: ReservationContext,
  {workspace, tokens: needed}: TokenDemand,
  refusal: RefusalReason,
): ReservationResult {
  const now = clock.now();
  const {tokens: remaining, receivedAt} = grants.remaining(workspace);
  const age = now - receivedAt;
  const shortage = {
    needed,
    available: Math.round(grants.available(workspace)),
    spendable: Math.round(grants.spendable(workspace, now)),
    remaining,
    remainingAgeMilliseconds: Number.isFinite(age)
      ? Math.round(age)
      : undefined,
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
