/**
 * @fileoverview Detects that the process of a router has ended.
 *
 * Two facts together prove it. The router keeps a connection open for as long as
 * it runs, and the system closes it in an orderly way when the process ends;
 * afterwards, the host refuses connections to the router's peer address. Either
 * of them alone proves nothing: a firewall refuses connections and resets those
 * that are open, in place of the host, and a proxy that ends closes connections
 * of a router that runs. A host without power, or one that is cut off silently,
 * gives neither.
 */
import {
  type Clock,
  type ConnectionEnd,
  connectionErrorCode,
  type Counter,
  type Logger,
  type MetricsRegistry,
  sleep,
} from '@dogwoodtrestle/runtime';
import {type ClockReading, type PresenceRequest} from '@dogwoodtrestle/schema';

/** Timeout of a connection that checks a router. */
const checkTimeoutMilliseconds = 300;

/** Time after which a refused connection is tried once more. */
const confirmAfterMilliseconds = 50;

/** Time without a report after which a router is checked; above its longest interval. */
const silentAfterMilliseconds = 1_500;

/**
 * Time after the end of a connection up to which a report may have been sent
 * before it. A later report shows that the router runs.
 */
const lateReportMilliseconds = 1_000;

/** Routers that are checked at once because they are silent. */
const maxSilentChecks = 16;

/** Options of the detector. */
export interface RouterEndOptions {
  clock: Clock;
  logger: Logger;
  metrics: MetricsRegistry;
  /** Returns the time by which a router has ended if it refuses connections now. */
  readClock: () => ClockReading;
  recordEnd: (router: string, endedBy: ClockReading) => Promise<void>;
  /** Returns whether an address refuses connections. */
  isRefused?: (address: string) => Promise<boolean>;
}

interface ReportedRouter {
  router: string;
  /** Time of the newest report by the monotonic clock. */
  reportedAt: number;
}

/** The connections that a router keeps open while it runs. */
interface RouterPresence {
  open: number;
  /** Monotonic time at which the last one was closed in an orderly way. */
  closedAt?: number;
}

/** Checks routers whose connections were closed as they are when a process ends. */
export class RouterEndDetector {
  /** By peer address. */
  private readonly routers = new Map<string, ReportedRouter>();
  /** By router. */
  private readonly presences = new Map<string, RouterPresence>();
  private readonly connectionEnds: Counter;
  private readonly checking = new Set<string>();
  private readonly isRefused: (address: string) => Promise<boolean>;

  constructor(private readonly options: RouterEndOptions) {
    this.isRefused = options.isRefused ?? isConnectionRefused;
    this.connectionEnds = options.metrics.counter(
      'dogwoodtrestle_router_connection_ends_total',
      'Ends of connections that routers keep open while they run, by how they ended.',
    );
  }

  /** Records that a router has reported to this process. */
  recordReport(router: string, address: string): void {
    const reportedAt = this.options.clock.now();
    const former = this.routers.get(address)?.router;
    this.routers.set(address, {router, reportedAt});
    if (former !== undefined && former !== router) this.forget(former);
    const {closedAt = Infinity} = this.presences.get(router) ?? {};
    if (reportedAt - closedAt > lateReportMilliseconds) this.forget(router);
  }

  /** Records that a router keeps a connection open. */
  openConnection({router}: PresenceRequest): void {
    const open = this.presences.get(router)?.open ?? 0;
    this.presences.set(router, {open: open + 1});
  }

  /** Records the end of such a connection; checks the router after an orderly one. */
  async endConnection(
    {router, address}: PresenceRequest,
    end: ConnectionEnd,
  ): Promise<void> {
    const {clock, logger} = this.options;
    const presence = this.presences.get(router);
    if (presence === undefined) return;
    presence.open--;
    this.connectionEnds.add({end});
    logger.info(
      {router, address, end, open: presence.open},
      'connection of a router ended',
    );
    if (presence.open > 0) return;
    if (end === 'broken') {
      this.presences.delete(router);
      return;
    }
    presence.closedAt = clock.now();
    await this.check(address);
  }

  private forget(router: string): void {
    const presence = this.presences.get(router);
    if (presence?.open === 0) this.presences.delete(router);
  }

  private async check(address: string): Promise<void> {
    const known = this.routers.get(address);
    if (known === undefined || this.checking.has(address)) return;
    const presence = this.presences.get(known.router);
    if (presence?.closedAt === undefined) return;
    const {clock, logger, readClock, recordEnd} = this.options;
    const {router} = known;
    this.checking.add(address);
    try {
      if (!(await this.isRefused(address))) return;
      const endedBy = readClock();
      await sleep(clock, confirmAfterMilliseconds);
      if (!(await this.isRefused(address))) return;
      // Another incarnation may have reported meanwhile.
      if (this.routers.get(address)?.router !== router) return;
      // It may have opened a connection meanwhile.
      if (this.presences.get(router) !== presence) return;
      await recordEnd(router, endedBy);
      this.forget(router);
      const isReplaced = this.routers.get(address)?.router !== router;
      if (!isReplaced) this.routers.delete(address);
    } catch (error) {
      logger.warn({err: error, router, address}, 'end of router not recorded');
    } finally {
      this.checking.delete(address);
    }
  }

  /** Checks routers that have not reported for some time. */
  async checkSilent(): Promise<void> {
    const oldest = this.options.clock.now() - silentAfterMilliseconds;
    const silent = [...this.routers]
      .filter(([, {reportedAt}]) => reportedAt < oldest)
      .slice(0, maxSilentChecks);
    for (const [address, router] of silent) {
      // Others come first next time.
      this.routers.delete(address);
      this.routers.set(address, router);
    }
    await Promise.all(silent.map(([address]) => this.check(address)));
  }
}

async function isConnectionRefused(address: string): Promise<boolean> {
  const code = await connectionErrorCode(address, checkTimeoutMilliseconds);
  return code === 'ECONNREFUSED';
}
