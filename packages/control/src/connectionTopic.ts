/**
 * @fileoverview The connections to backend servers in the watch call: routers
 * report the services of which they need more than their equal part, and the
 * leader leases it to them.
 *
 * Only the newest request of a router is replied to with leases, since a router
 * drops the replies to earlier ones.
 */
import {bootstrapTerm} from '@dogwoodtrestle/consensus';
import {type LimitShares} from '@dogwoodtrestle/fleet';
import {type Clock} from '@dogwoodtrestle/runtime';
import {
  type ConnectionReport,
  type LimitReport,
  type WatchRequest,
  type WatchUpdate,
} from '@dogwoodtrestle/schema';

import {type ReplicaGroup} from './replicaGroup.js';
import {type WatchTopic} from './watchTopic.js';

/** Time for which a request is remembered; longer than any may wait. */
const rememberedMilliseconds = 60_000;

/** A request, the monotonic time at which it came, and the term. */
interface ReceivedRequest {
  request: WatchRequest;
  at: number;
  term: number;
}

/** Grants leases of connections. */
export class ConnectionTopic implements WatchTopic {
  /** Newest request by router, of those that reported any, the oldest first. */
  private readonly newest = new Map<string, ReceivedRequest>();

  constructor(
    private readonly clock: Clock,
    private readonly group: Pick<ReplicaGroup, 'term' | 'leadsWithQuorum'>,
    private readonly shares: LimitShares,
  ) {}

  record(request: WatchRequest): boolean {
    const {router, connections = []} = request;
    const now = this.clock.now();
    const {term} = this.group;
    const isFirst = term === bootstrapTerm + 1;
    this.shares.enterTerm({term, isFirst}, now);
    this.newest.delete(router);
    if (connections.length > 0) {
      this.newest.set(router, {request, at: now, term});
    }
    this.forgetOld(now);
    this.shares.record(router, connections.map(toLimitReport), now);
    return false;
  }

  /** Whether the router gets a larger lease, which it needs at once. */
  hasNewsFor(request: WatchRequest): boolean {
    if (!this.isAnswered(request)) return false;
    const {router, connections = []} = request;
    const services = new Set(connections.map(({service}) => service));
    return this.shares.hasGrowth(router, this.clock.now(), services);
  }

  notice(request: WatchRequest): Partial<WatchUpdate> {
    if (!this.isAnswered(request)) return {};
    const {router, connections = []} = request;
    const services = new Set(connections.map(({service}) => service));
    const notices = this.shares.notices(router, this.clock.now(), services);
    return {
      connections: notices.map(({server, lease}) => ({service: server, lease})),
    };
  }

  /** Forgets requests of routers that have ended since. */
  private forgetOld(now: number): void {
    for (const [router, {at}] of this.newest) {
      if (now - at < rememberedMilliseconds) return;
      this.newest.delete(router);
    }
  }

  private isAnswered(request: WatchRequest): boolean {
    const newest = this.newest.get(request.router);
    if (newest?.request !== request) return false;
    // Others may have led since, and have given leases.
    return newest.term === this.group.term && this.group.leadsWithQuorum;
  }
}

/** A service counts as one server, as shares are the same at each of its own. */
function toLimitReport({
  service,
  total,
  ...share
}: ConnectionReport): LimitReport {
  const observation = {perSecond: total, ageMilliseconds: 0};
  return {server: service, service, startedAt: 0, ...share, observation};
}
