/** @fileoverview Command by which an instance becomes the issuer of orders. */
import {type ClaimIssuerLease, type LeaseResult} from '@dogwoodtrestle/schema';

import {type IssuerLease, type LedgerState} from '../ledgerState.js';

/**
 * Takes or renews the issuer lease. The holder's renewal keeps the fencing
 * number; a claim after the lease has ended gets the next one.
 */
export function claimIssuerLease(
  state: LedgerState,
  command: ClaimIssuerLease,
): LeaseResult {
  const {issuer, durationMilliseconds} = command;
  const lease = state.issuerLease;
  const isRunning = lease !== undefined && lease.until >= state.now;
  if (isRunning && lease.issuer !== issuer) {
    return {kind: 'lease', ...lease, held: false};
  }
  const number = lease?.fencingNumber ?? 0;
  const claimed: IssuerLease = {
    issuer,
    fencingNumber: isRunning ? number : number + 1,
    until: state.now + durationMilliseconds,
  };
  state.issuerLease = claimed;
  return {kind: 'lease', ...claimed, held: true};
}
