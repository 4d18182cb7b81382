/**
 * @fileoverview Grants tokens of the prepaid totals to routers, while this
 * process leads.
 */
import {randomUUID} from 'node:crypto';

import {
  type Overspend,
  type EndedIncarnation,
  type FleetState,
  endOfRouter,
  GrantPlanner,
  hasOtherProcess,
  isEndRecord,
  recordExcess,
  type UsageResult,
} from '@dogwoodtrestle/fleet';
import {
  type ConnectionEnd,
  type Counter,
  type Logger,
} from '@dogwoodtrestle/runtime';
import {
  type ClockReading,
  type GrantOffer,
  type PresenceRequest,
  type RecordUsage,
  type UsageEntry,
  type UsageReply,
  type UsageReport,
} from '@dogwoodtrestle/schema';

import {type ControlOptions} from './controlOptions.js';
import {type ReplicaGroup} from './replicaGroup.js';
import {RouterEndDetector, type RouterEndOptions} from './routerEndDetector.js';
import {type WatchService} from './watchService.js';

/** Minimum interval between log lines on the shortage of one workspace. */
const shortageLogMilliseconds = 500;

/**
 * Share of a total that requests must have used for it to count as exhausted.
 * The rest is reserved for requests in progress. A shortage below it is logged
 * as a warning.
 */
const exhaustedShare = 0.97;

/** Reports on a workspace that were granted less than requested. */
interface Shortage {
  /** Number of reports since the last log line. */
  reports: number;
  loggedAt: number;
}

/** Handles the routers' usage reports and replies with their grants. */
export class GrantService {
  private readonly planner: GrantPlanner;
  private readonly endDetector: RouterEndDetector;
  private readonly endedIncarnationTokens: Counter;
  private readonly breaches: Counter;
  private readonly shortageReports: Counter;
  private readonly shortages = new Map<string, Shortage>();
  /** Clock readings are only comparable within one run of this process. */
  private readonly clockId = randomUUID();

  /**
   * @param routers Returns the peer addresses of recently seen routers.
   * @param watch Knows the routers, and what this leader vouches for.
   */
  constructor(
    private readonly options: Pick<
      ControlOptions,
      'clock' | 'routerLostAfterMilliseconds' | 'metrics'
    > & {logger: Logger} & Pick<RouterEndOptions, 'isRefused'>,
    private readonly group: ReplicaGroup,
    private readonly state: FleetState,
    routers: () => readonly string[],
    private readonly watch: Pick<
      WatchService,
      'view' | 'noteRouter' | 'leaderHint'
    >,
  ) {
    const {routerLostAfterMilliseconds, metrics} = options;
    this.endedIncarnationTokens = metrics.counter(
      'dogwoodtrestle_ended_life_tokens_total',
      'Unspent tokens of router lives that ended, by outcome and basis.',
    );
    this.breaches = metrics.counter(
      'dogwoodtrestle_book_breaches_total',
      'Reports by which a life of a router spent more than it had.',
    );
    this.shortageReports = metrics.counter(
      'dogwoodtrestle_short_totals_total',
      'Reports that got less than they asked for, by whether the total is used.',
    );
    this.planner = new GrantPlanner(state, routers, {
      routerLostAfterMilliseconds,
    });
    this.endDetector = new RouterEndDetector({
      clock: options.clock,
      logger: options.logger,
      metrics,
      isRefused: options.isRefused,
      readClock: () => this.readClock(),
      recordEnd: (router, endedBy) => this.recordEnd(router, endedBy),
    });
  }

  /**
   * Records a report, and replies with the router's grants once a majority has
   * recorded it. A process that doesn't lead replies with a leader hint.
   *
   * @throws If the replica can't commit the report.
   */
  async report(report: UsageReport): Promise<UsageReply> {
    const {router, address, isProxied = false, isStopping, usages} = report;
    const receivedAt = this.options.clock.now();
    if (!this.group.isLeader) return this.watch.leaderHint();
    if (this.isOver(report)) return this.reportOver(report, receivedAt);
    this.watch.noteRouter({router, address});
    if (!isProxied) this.endDetector.recordReport(router, address);
    const now = this.options.clock.now();
    this.planner.enterTerm(this.group.term, now);
    this.planner.recordReport(router, usages, now);
    const plans = usages.map(usage =>
      this.planner.plan({router, address}, usage, isStopping),
    );
    await this.record(
      report,
      plans.map(({entry}) => entry),
    );
    const offers = plans.map(({workspace, target, pacedShare}): GrantOffer => {
      const remaining = this.planner.remaining(workspace);
      const account = this.state.prepaid.accounts[workspace];
      return {
        workspace,
        granted: account?.routers[router]?.granted ?? 0,
        target,
        remaining: Math.min(remaining, Number.MAX_SAFE_INTEGER),
        pacedShare,
      };
    });
    return {
      kind: 'grants',
      reportedAt: report.reportedAt,
      isOver: this.isOver(report),
      leaderTime: this.readClock(),
      view: this.watch.view(receivedAt),
      offers,
    };
  }

  /** Whether an incarnation has ended, or must not follow one that has. */
  private isOver({router, life, follows}: UsageReport): boolean {
    const {prepaid} = this.state;
    const known = prepaid.routers[router];
    if (known !== undefined || follows === undefined) {
      return known?.isOver ?? false;
    }
    return hasOtherProcess(prepaid, life.instance, follows);
  }

  /** Replies to an incarnation that has ended; records what it overspent. */
  private async reportOver(
    report: UsageReport,
    receivedAt: number,
  ): Promise<UsageReply> {
    const {router, address, life, reportedAt, usages} = report;
    if (this.state.prepaid.routers[router] !== undefined) {
      // Of these entries only what was spent counts.
      const entries = usages.map(
        usage => this.planner.plan({router, address}, usage, true).entry,
      );
      const breaches = await this.record(report, entries);
      if (breaches.length > 0) {
        const command = recordExcess(router, life, breaches);
        await this.group.replica.propose([command]);
      }
    }
    return {
      kind: 'grants',
      reportedAt,
      isOver: true,
      leaderTime: this.readClock(),
      view: this.watch.view(receivedAt),
      offers: [],
    };
  }

  /** Records that a router keeps a connection open for as long as it runs. */
  openConnection(request: PresenceRequest): void {
    this.endDetector.openConnection(request);
  }

  /** Records how such a connection ended; it may show that the router has ended. */
  async endConnection(
    request: PresenceRequest,
    end: ConnectionEnd,
  ): Promise<void> {
    await this.endDetector.endConnection(request, end);
  }

  /** Checks whether routers that have not reported for some time have ended. */
  async checkSilentRouters(): Promise<void> {
    if (this.group.isLeader) await this.endDetector.checkSilent();
  }

  private async recordEnd(
    router: string,
    endedBy: ClockReading,
  ): Promise<void> {
    if (!this.group.isLeader) return;
    const command = endOfRouter(this.state.prepaid, router, endedBy);
    if (command === undefined) return;
    const [result] = await this.group.replica.propose([command]);
    const {ended} = result as UsageResult;
    for (const incarnation of ended) this.reportEnd(incarnation);
  }

  /** Records a report; returns what the incarnation spent beyond what it had. */
  private async record(
    {router, life, reportedAt, reportedWallAt, leaderTime}: UsageReport,
    entries: UsageEntry[],
  ): Promise<Overspend[]> {
    // A recorded router without tokens has no commitment to record.
    const isKnown = this.state.prepaid.routers[router] !== undefined;
    if (entries.length === 0 && isKnown) return [];
    const command: RecordUsage = {
      kind: 'recordUsage',
      router,
      life,
      reportedAt,
      reportedWallAt,
      leaderTime,
      recordedAt: this.readClock(),
      entries,
    };
    const [result] = await this.group.replica.propose([command]);
    const {outcomes, ended, breaches} = result as UsageResult;
    for (const incarnation of ended) this.reportEnd(incarnation, router);
    for (const breach of breaches) this.reportOverspend(breach);
    for (const {workspace, granted} of outcomes) {
      const requested = entries.find(entry => entry.workspace === workspace);
      if (requested === undefined || granted >= requested.grantUpTo) continue;
      this.reportShortage(workspace, router, requested.grantUpTo - granted);
    }
    return breaches;
  }

  /** Logs at an interval, as hundreds of routers may lack the same tokens. */
  private reportShortage(
    workspace: string,
    router: string,
    missing: number,
  ): void {
    const {clock, logger} = this.options;
    const now = clock.now();
    const shortage = this.shortages.get(workspace) ?? {reports: 0, loggedAt: 0};
    this.shortages.set(workspace, shortage);
    shortage.reports++;
    const summary = this.planner.summaryOf(workspace);
    const isUsedUp = summary.used >= exhaustedShare * summary.prepaid;
    this.shortageReports.add({isUsedUp: String(isUsedUp)});
    if (now - shortage.loggedAt < shortageLogMilliseconds) return;
    const {reports} = shortage;
    Object.assign(shortage, {reports: 0, loggedAt: now});
    logger[isUsedUp ? 'info' : 'warn'](
      {workspace, router, missing, reports, isUsedUp, ...summary},
      'prepaid total does not cover the requested grant',
    );
  }

  /** Reports an incarnation that spent tokens already granted to others. */
  private reportOverspend(breach: Overspend): void {
    const {workspace, isOver} = breach;
    this.options.logger.error(
      {...breach, ...this.planner.summaryOf(workspace)},
      'router spent more than it had',
    );
    this.breaches.add({isOver: String(isOver)});
  }

  private readClock(): ClockReading {
    const {clock} = this.options;
    return {
      clock: this.clockId,
      steady: Math.floor(clock.now()),
      wall: Math.floor(clock.wallNow()),
    };
  }

  /** @param successor Missing if the process was found to have ended. */
  private reportEnd(incarnation: EndedIncarnation, successor?: string): void {
    const {router, basis, returned, forfeited} = incarnation;
    if (isEndRecord(router)) return;
    this.options.logger.info(
      {...incarnation, successor},
      'router incarnation ended',
    );
    this.endedIncarnationTokens.add(
      {outcome: 'returned', basis},
      sumTokens(returned),
    );
    this.endedIncarnationTokens.add(
      {outcome: 'forfeited', basis},
      sumTokens(forfeited),
    );
  }
}

function sumTokens(tokens: Record<string, number>): number {
  return Object.values(tokens).reduce((sum, amount) => sum + amount, 0);
}
