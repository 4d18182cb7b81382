/** @fileoverview Command that claims the lease of the order issuer. */
import {type ClaimIssuerLease, type LeaseResult} from '@dogwoodtrestle/schema';

import {type IssuerLease, type LedgerState} from '../ledgerState.js';

/**
 * Claims or renews the issuer lease. A renewal by the holder keeps the fencing
 * number; a claim after the lease has expired gets the next number.
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
