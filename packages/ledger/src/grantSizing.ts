/**
 * @fileoverview How much of a customer's balance a holder should ask for.
 *
 * A grant should cover the demand of its holder for as long as it may serve
 * cut off, but while money is short it must leave enough for the others:
 * at most an even part of what may be out in grants.
 */
import {percentOf} from './util/percentOf.js';

/** What is known when a grant is sized; amounts in micros. */
export interface GrantDemand {
  /** Measured spending of the holder. */
  demandPerSecond: number;
  /** Balance that is neither billed nor reserved nor granted. */
  available: number;
  /** Amount that is out in grants now. */
  granted?: number;
  /** Number of instances that serve the customer. */
  holders: number;
  servingSeconds: number;
  grantPercent: number;
  /** Largest cost of one request that was seen; a smaller grant is useless. */
  largestRequest?: number;
}

/** Returns the amount to ask for, or 0 where a grant is not worth taking. */
export function sizeGrant(demand: GrantDemand): number {
  const {demandPerSecond, available, holders, servingSeconds} = demand;
  const largest = demand.largestRequest ?? 0;
  const balance = available + (demand.granted ?? 0);
  const most = Math.floor(
    percentOf(balance, demand.grantPercent) / Math.max(1, holders),
  );
  // Requests reserve more than they cost, so one of them fits on top.
  const wanted = Math.ceil(demandPerSecond * servingSeconds) + largest;
  return Math.max(0, Math.min(wanted, most, available));
}
