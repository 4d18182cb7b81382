/**
 * @fileoverview Computes the amount that a holder requests for a grant.
 *
 * A grant should cover its holder's demand for the whole time that the holder
 * may serve while partitioned. If the balance is low, a grant is limited to
 * an equal part of what may be granted in total. It also leaves a reserve
 * for requests of connected holders, but may always take half of the
 * available balance. Without the reserve, every request would have to recall
 * a grant.
 */
import {percentOf} from './util/percentOf.js';

/** Time for which the ungranted balance must cover connected requests. */
const connectedReserveSeconds = 30;

/** Input of the sizing of a grant; amounts in micros. */
export interface GrantDemand {
  /** Recent spending rate of the holder. */
  demandPerSecond: number;
  /** Balance that is neither billed nor reserved nor granted. */
  available: number;
  /** Amount that is held by other grants. */
  granted?: number;
  /** Number of instances that serve the customer. */
  holders: number;
  servingSeconds: number;
  grantPercent: number;
  /** Largest reservation of a single request. */
  largestRequest?: number;
}

/** Returns the amount to request, in micros, or 0 for no grant. */
export function sizeGrant(demand: GrantDemand): number {
  const {demandPerSecond, available, servingSeconds} = demand;
  const holders = Math.max(1, demand.holders);
  const largestReservation = demand.largestRequest ?? 0;
  const balance = available + (demand.granted ?? 0);
  const maxPerHolder = Math.floor(
    percentOf(balance, demand.grantPercent) / holders,
  );
  // Requests reserve more than they cost, so one reservation is added.
  const requested =
    Math.ceil(demandPerSecond * servingSeconds) + largestReservation;
  const connectedReserve =
    demandPerSecond * holders * connectedReserveSeconds + largestReservation;
  const aboveReserve = Math.max(0, available - Math.ceil(connectedReserve));
  const halfAvailable = Math.floor(available / 2);
  return Math.max(
    0,
    Math.min(requested, maxPerHolder, Math.max(aboveReserve, halfAvailable)),
  );
}
