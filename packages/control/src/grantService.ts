/**
 * @fileoverview Grants routers tokens of the prepaid totals, while this process
 * leads.
 */
import {randomUUID} from 'node:crypto';

import {
  type BookBreach,
  type EndedLife,
  type FleetState,
  GrantPlanner,
  type UsageRecord,
} from '@dogwoodtrestle/fleet';
import {type Counter, type Logger} from '@dogwoodtrestle/runtime';
import {
  type ClockReading,
  type GrantOffer,
  type RecordUsage,
  type UsageEntry,
  type UsageReply,
  type UsageReport,
} from '@dogwoodtrestle/schema';

import {type ReplicaGroup} from './replicaGroup.js';
import {type ControlOptions} from './controlOptions.js';

/** Interval of lines about one workspace whose total is short. */
const shortageLogMilliseconds = 500;

/**
 * Part of a total that requests have used, below which a refusal is no
 * consequence of use; the rest is held for requests that are under way.
 */
const usedUpShare = 0.97;

/** Reports of a workspace that got less than they asked for. */
interface Shortage {
  /** Since the last line. */
  reports: number;
  loggedAt: number;
}

/** Answers the routers' reports of what they spent. */
export class GrantService {
  private readonly planner: GrantPlanner;
  private readonly endedTokens: Counter;
  private readonly breaches: Counter;
  private readonly shortReports: Counter;
  private readonly shortages = new Map<string, Shortage>();
  /** Readings are compared within one life of this process. */
  private readonly clockName = randomUUID();

  /** @param routers Peer addresses of the routers heard of lately. */
  constructor(
    private readonly options: Pick<
      ControlOptions,
      'clock' | 'routerLostAfterMilliseconds' | 'metrics'
    > & {logger: Logger},
    private readonly group: ReplicaGroup,
    private readonly state: FleetState,
    routers: () => readonly string[],
  ) {
    const {routerLostAfterMilliseconds, metrics} = options;
    this.endedTokens = metrics.counter(
      'dogwoodtrestle_ended_life_tokens_total',
      'Unspent tokens of router lives that ended, by outcome and basis.',
    );
    this.breaches = metrics.counter(
      'dogwoodtrestle_book_breaches_total',
      'Reports by which a life of a router spent more than it had.',
    );
    this.shortReports = metrics.counter(
      'dogwoodtrestle_short_totals_total',
      'Reports that got less than they asked for, by whether the total is used.',
    );
    this.planner = new GrantPlanner(state, routers, {
      routerLostAfterMilliseconds,
    });
  }

  async report(report: UsageReport): Promise<UsageReply> {
    const {router, address, isStopping, usages} = report;
    if (!this.group.isLeader) return this.group.hint();
    this.planner.note(router, usages, this.options.clock.now());
    const plans = usages.map(usage =>
      this.planner.plan({router, address}, usage, isStopping),
    );
    await this.record(
      report,
      plans.map(({entry}) => entry),
    );
    const offers = plans.map(({workspace, target}): GrantOffer => {
      const remaining = this.planner.remaining(workspace);
      const account = this.state.prepaid.accounts[workspace];
      return {
        workspace,
        granted: account?.routers[router]?.granted ?? 0,
        target,
        remaining: Math.min(remaining, Number.MAX_SAFE_INTEGER),
      };
    });
    return {
      kind: 'grants',
      reportedAt: report.reportedAt,
      isOver: this.state.prepaid.routers[router]?.isOver ?? false,
      leaderTime: this.readClock(),
      offers,
    };
  }

  private async record(
    {router, life, reportedAt, reportedWallAt, leaderTime}: UsageReport,
    entries: UsageEntry[],
  ): Promise<void> {
    // A life without any tokens has nothing to promise.
    const isKnown = this.state.prepaid.routers[router] !== undefined;
    if (entries.length === 0 && isKnown) return;
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
    const {outcomes, ended, breaches} = result as UsageRecord;
    for (const life of ended) this.noteEnd(life, router);
    for (const breach of breaches) this.noteBreach(breach);
    for (const {workspace, granted} of outcomes) {
      const asked = entries.find(entry => entry.workspace === workspace);
      if (asked === undefined || granted >= asked.grantUpTo) continue;
      this.noteShortage(workspace, router, asked.grantUpTo - granted);
    }
  }

  /** Hundreds of routers may lack the same tokens; one line tells for a while. */
  private noteShortage(
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
    const isUsedUp = summary.used >= usedUpShare * summary.prepaid;
    this.shortReports.add({isUsedUp: String(isUsedUp)});
    if (now - shortage.loggedAt < shortageLogMilliseconds) return;
    const {reports} = shortage;
    Object.assign(shortage, {reports: 0, loggedAt: now});
    logger[isUsedUp ? 'info' : 'warn'](
      {workspace, router, missing, reports, isUsedUp, ...summary},
      'the prepaid total does not cover the grant',
    );
  }

  /** A life that spent what others were granted meanwhile. */
  private noteBreach(breach: BookBreach): void {
    const {workspace, isOver} = breach;
    this.options.logger.error(
      {...breach, ...this.planner.summaryOf(workspace)},
      'a router spent more than it had',
    );
    this.breaches.add({isOver: String(isOver)});
  }

  private readClock(): ClockReading {
    const {clock} = this.options;
    return {
      clock: this.clockName,
      steady: Math.floor(clock.now()),
      wall: Math.floor(clock.wallNow()),
    };
  }

  private noteEnd(life: EndedLife, successor: string): void {
    const {basis, returned, forfeited} = life;
    this.options.logger.info({...life, successor}, "a router's life ended");
    this.endedTokens.add({outcome: 'returned', basis}, sumOf(returned));
    this.endedTokens.add({outcome: 'forfeited', basis}, sumOf(forfeited));
  }
}

function sumOf(tokens: Record<string, number>): number {
  return Object.values(tokens).reduce((sum, amount) => sum + amount, 0);
}
