/**
 * @fileoverview Covers the most that a request can cost before it is sent.
 */
import {type Reservation} from '@dogwoodtrestle/fleet';

import {type EdgeContext} from './edgeContext.js';
import {type LoanNeed} from './loans.js';
import {type RefusalReason} from './refusal.js';
import {type RequestRunInput} from './requestInput.js';

/** Pause before a grant that was too small is tried again. */
const grantRetryMilliseconds = 30;

/** What must be covered for a request; nothing without a prepaid total. */
export function needOf({
  workspace,
  request,
}: RequestRunInput): LoanNeed | undefined {
  const {generation, attemptId} = request;
  if (workspace?.prepaidTokens === undefined || generation === undefined) {
    return undefined;
  }
  const tokens = generation.promptTokens + generation.maxOutputTokens;
  return {workspace: workspace.name, tokens, request: attemptId};
}

/** What came of a try to cover a request. */
export type Cover = {reservation: Reservation} | {refusal: RefusalReason};

/** What reservations are made of. */
export type ReservationContext = Pick<
  EdgeContext,
  'grants' | 'clock' | 'link' | 'loans' | 'options'
>;

/**
 * Reserves tokens of a workspace. Where the grant is too small it borrows from
 * the workspace's holders, and asks the leader for more while it is reached.
 *
 * @param isOver Whether the request has ended meanwhile.
 */
export async function coverRequest(
  context: ReservationContext,
  need: LoanNeed,
  isOver: () => boolean,
): Promise<Cover> {
  const {grants, clock, link, loans} = context;
  const {workspace, tokens} = need;
  const reservation = grants.reserve(workspace, tokens, clock.now());
  if (reservation !== undefined) return {reservation};
  const hasLoan = await loans.borrow(need, !link.isConnected, isOver);
  if (isOver()) return {refusal: 'grantUnavailable'};
  if (hasLoan) {
    const reservation = grants.reserve(workspace, tokens, clock.now(), true);
    if (reservation !== undefined) return {reservation};
  }
  return link.isConnected
    ? coverFromLeader(context, need, isOver)
    : {refusal: 'grantUnavailable'};
}

async function coverFromLeader(
  context: ReservationContext,
  {workspace, tokens}: LoanNeed,
  isOver: () => boolean,
): Promise<Cover> {
  const {grants, clock, link, options} = context;
  const askedAt = clock.now();
  const limit = askedAt + options.grantWaitMilliseconds;
  grants.want(workspace, tokens);
  try {
    while (!isOver()) {
      const rest = limit - clock.now();
      await Promise.race([link.report(), pause(context, rest)]);
      const now = clock.now();
      const reservation = grants.reserve(workspace, tokens, now, true);
      if (reservation !== undefined) return {reservation};
      const {tokens: remaining, receivedAt: toldAt} =
        grants.remaining(workspace);
      if (toldAt >= askedAt && remaining < tokens) {
        return {refusal: 'prepaidExhausted'};
      }
      if (now >= limit || !link.isConnected) break;
      await pause(context, Math.min(grantRetryMilliseconds, limit - now));
    }
    return {refusal: 'grantUnavailable'};
  } finally {
    grants.want(workspace, -tokens);
  }
}

function pause(
  {clock}: ReservationContext,
  milliseconds: number,
): Promise<void> {
  return new Promise(resolve => {
    clock.setTimer(Math.max(0, milliseconds), resolve);
  });
}
