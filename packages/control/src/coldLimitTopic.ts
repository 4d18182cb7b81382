/**
 * @fileoverview The limits of cold backend servers in the watch call: the leader
 * leases parts of them, whether or not a server is cold now.
 */
import {bootstrapTerm} from '@dogwoodtrestle/consensus';
import {type FleetState, type LimitShares} from '@dogwoodtrestle/fleet';
import {type Clock} from '@dogwoodtrestle/runtime';
import {
  type LimitReport,
  type WatchRequest,
  type WatchUpdate,
} from '@dogwoodtrestle/schema';

import {type ReplicaGroup} from './replicaGroup.js';
import {type WatchTopic} from './watchTopic.js';

/** Leases by group of servers; the limits are those of the configuration. */
export class ColdLimitTopic implements WatchTopic {
  constructor(
    private readonly clock: Clock,
    private readonly group: Pick<ReplicaGroup, 'term' | 'leadsWithQuorum'>,
    private readonly state: Pick<FleetState, 'current'>,
    private readonly shares: LimitShares,
  ) {}

  /** Records what routers ask for; leases change nothing for other routers. */
  record({router, coldLimits = []}: WatchRequest): boolean {
    const now = this.enterTerm();
    const reports = coldLimits.map(report => this.withLimit(report));
    this.shares.record(router, reports, now);
    return false;
  }

  /** Returns the router's leases, if this process may grant any. */
  notice({router, coldLimits}: WatchRequest): Partial<WatchUpdate> {
    if (coldLimits === undefined || !this.group.leadsWithQuorum) return {};
    const notices = this.shares.notices(router, this.enterTerm());
    return notices.length > 0 ? {coldLimits: notices} : {};
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

  private withLimit(report: LimitReport): LimitReport {
    const {services = []} = this.state.current?.configuration ?? {};
    const service = services.find(({name}) => name === report.service);
    const perSecond = service?.coldRequestsPerSecond;
    return {...report, observation: {perSecond, ageMilliseconds: 0}};
  }
}
