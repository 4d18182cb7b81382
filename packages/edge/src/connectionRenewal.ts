/**
 * @fileoverview Renews the connections to processes that may be silent: later
 * calls open connections, as idle ones may be silent as well.
 */
import {type Clock, type PeerCallClient} from '@dogwoodtrestle/runtime';

/** Minimum time between renewals of the connections to a process. */
const renewIntervalMilliseconds = 2_000;

/** Renews connections at an interval. */
export class ConnectionRenewal {
  /** Monotonic time of the last renewal by address, in milliseconds. */
  private readonly renewedAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly calls: Pick<PeerCallClient, 'renew'>,
  ) {}

  /** Renews the connections to an address, unless that was done lately. */
  renew(address: string): void {
    const now = this.clock.now();
    const age = now - (this.renewedAt.get(address) ?? -Infinity);
    if (age < renewIntervalMilliseconds) return;
    this.renewedAt.set(address, now);
    this.calls.renew(address);
  }
}
