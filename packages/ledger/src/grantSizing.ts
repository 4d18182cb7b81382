/**
 * @fileoverview How much of a customer's balance a holder should ask for.
 *
 * A grant should cover the demand of its holder for as long as it may serve
 * cut off. While money is short it takes at most an even part of what may be
 * out in grants, and leaves what the connected holders will need until the
 * next renewal, or half of the balance where that is more; else every
 * request would have to recall a grant.
 */
import {percentOf} from './util/percentOf.js';

/** Time for which connected requests must find money that is not granted. */
const connectedReserveSeconds = 30;

/** What is known when a grant is sized; amounts in micros. */
export interface GrantDemand {
  /** Measured spending of the holder. */
  demandPerSecond: number;
  /** Balance that is neither billed nor reserved nor granted. */
  available: number;
  /** Amount that is out in other grants now. */
  granted?: number;
  /** Number of instances that serve the customer. */
  holders: number;
  servingSeconds: number;
  grantPercent: number;
  /** Largest amount that was reserved for one request. */
  largestRequest?: number;
}

/** Returns the amount to ask for, or 0 where a grant is not worth taking. */
export function sizeGrant(demand: GrantDemand): number {
  const {demandPerSecond, available, servingSeconds} = demand;
  const holders = Math.max(1, demand.holders);
  const largestReservation = demand.largestRequest ?? 0;
  const balance = available + (demand.granted ?? 0);
  const maxPerHolder = Math.floor(
    percentOf(balance, demand.grantPercent) / holders,
  );
  // Requests reserve more than they cost, so one of them fits on top.
  const wanted =
    Math.ceil(demandPerSecond * servingSeconds) + largestReservation;
  const connectedReserve =
    demandPerSecond * holders * connectedReserveSeconds + largestReservation;
  const aboveReserve = Math.max(0, available - Math.ceil(connectedReserve));
  const halfAvailable = Math.floor(available / 2);
  return Math.max(
    0,
    Math.min(wanted, maxPerHolder, Math.max(aboveReserve, halfAvailable)),
  );
}
