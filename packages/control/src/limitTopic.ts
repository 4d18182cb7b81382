/**
 * @fileoverview The limits of backend servers in the watch call: routers report
 * them, and the leader leases parts of them.
 */
import {bootstrapTerm} from '@dogwoodtrestle/consensus';
import {type LimitShares} from '@dogwoodtrestle/fleet';
import {type Clock} from '@dogwoodtrestle/runtime';
import {type WatchRequest, type WatchUpdate} from '@dogwoodtrestle/schema';

import {type ReplicaGroup} from './replicaGroup.js';
import {type WatchTopic} from './watchTopic.js';

/** Records limits and grants leases of them. */
export class LimitTopic implements WatchTopic {
  constructor(
    private readonly clock: Clock,
    private readonly group: Pick<ReplicaGroup, 'term' | 'leadsWithQuorum'>,
    private readonly shares: LimitShares,
  ) {}

  record({router, limits = []}: WatchRequest): boolean {
    const now = this.enterTerm();
    return this.shares.record(router, limits, now);
  }

  /** Returns all limits, with the router's leases if this process may grant any. */
  notice({router}: WatchRequest): Partial<WatchUpdate> {
    if (!this.group.leadsWithQuorum) return {};
    const limits = this.shares.notices(router, this.enterTerm());
    return limits.length > 0 ? {limits} : {};
  }

  /**
   * Enters the present term, also where a call has waited since an earlier one, and
   * returns the monotonic time in milliseconds.
   */
  private enterTerm(): number {
    const now = this.clock.now();
    const {term} = this.group;
    const isFirst = term === bootstrapTerm + 1;
    this.shares.enterTerm({term, isFirst}, now);
    return now;
  }
}
