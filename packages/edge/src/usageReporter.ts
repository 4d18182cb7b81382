/**
 * @fileoverview Reports the usage of tokens to the leader, and accepts the grants
 * in its replies.
 */
import {
  type EndedGrants,
  type HeldGrants,
  type LeaseRequestTime,
} from '@dogwoodtrestle/fleet';
import {
  type PeerCallClient,
  settledWithin,
  sleep,
} from '@dogwoodtrestle/runtime';
import {
  checkedMessage,
  type ClockReading,
  type LeaderHint,
  type UsageGrants,
  type UsageReply,
  type UsageReport,
} from '@dogwoodtrestle/schema';

import {type EdgeOptions} from './edgeOptions.js';
import {callLimitMilliseconds} from './pendingCalls.js';
import {type ReplyCounter} from './replyCounter.js';
import {type RouterIdentity, type RouterIncarnation} from './routerIdentity.js';

/** Every n-th report names all workspaces, not only the changed ones. */
const fullReportInterval = 5;

/**
 * Interval of reports without changes. They renew the commitment, which bounds
 * what an incarnation may have spent when it ends, and serve as heartbeats.
 */
const idleReportMilliseconds = 1_200;

/**
 * Reports without a reply. The oldest one is given up for a new one, so that few
 * connections are occupied when a partition ends.
 */
const maxPendingReports = 3;

/** Weight of a new sample in the usual time until a report is confirmed. */
const reportDelayWeight = 0.25;

/** Longest time for which demand is committed in advance. */
const maxAheadMilliseconds = 2_500;

/** An incarnation that was recorded as ended while its requests were open. */
interface EndedIncarnation {
  incarnation: RouterIncarnation;
  grants: EndedGrants;
}

/** Whoever follows the leader. */
export interface UsageReportHost {
  leader(): string | undefined;
  /** Called at each interval, whether a report is sent or not. */
  onTick(): void;
  /** Called when a leader has recorded a report. */
  onGrants(reply: UsageGrants, leader: string, time: LeaseRequestTime): void;
  /** Called when a process that doesn't lead has replied. */
  onHint(hint: LeaderHint, asked: string, time: LeaseRequestTime): void;
}

/** Reports usage at intervals and on demand. */
export class UsageReporter {
  private isStopped = false;
  private reportsSent = 0;
  private reportedAt = -Infinity;
  private isReporting = false;
  private reportWaiters: Array<() => void> = [];
  /** Calls without a reply, the oldest first. */
  private readonly pendingReports = new Set<AbortController>();
  /** Usual time until a report is confirmed. */
  private reportDelay = 0;
  /** Last reading of a leader's clock, and the monotonic time of its arrival. */
  private lastLeaderTime?: {reading: ClockReading; at: number};
  /** When the report with that reading was sent. */
  private leaderTimeSentAt = -Infinity;
  private ended: EndedIncarnation[] = [];
  /** Whether it is logged that another process runs as this instance. */
  private isNotAdmitted = false;

  constructor(
    private readonly options: EdgeOptions,
    private readonly calls: PeerCallClient,
    private readonly identity: RouterIdentity,
    private readonly grants: HeldGrants,
    private readonly replies: ReplyCounter,
    private readonly host: UsageReportHost,
  ) {}

  /** Usual time until a leader has confirmed a report, in milliseconds. */
  get delayMilliseconds(): number {
    return this.reportDelay;
  }

  /** Starts periodic reports. */
  start(): void {
    void this.reportAtIntervals();
  }

  /** Stops periodic reports; calls in progress go on. */
  stop(): void {
    this.isStopped = true;
  }

  /**
   * Reports usage now. Resolves once a leader has replied or the report has
   * failed; a call during a report waits for the next one.
   */
  async report(): Promise<void> {
    if (this.isReporting) {
      return new Promise(resolve => this.reportWaiters.push(resolve));
    }
    this.isReporting = true;
    try {
      await this.sendReport();
    } finally {
      this.isReporting = false;
      const waiters = this.reportWaiters;
      this.reportWaiters = [];
      if (waiters.length > 0) {
        void this.report().finally(() => {
          for (const resolve of waiters) resolve();
        });
      }
    }
  }

  /** Lower bound of the current time by the last leader's clock. */
  private leaderTime(): ClockReading | undefined {
    if (this.lastLeaderTime === undefined) return undefined;
    const {reading, at} = this.lastLeaderTime;
    const age = Math.floor(this.options.clock.now() - at);
    const {clock, steady, wall} = reading;
    return {clock, steady: steady + age, wall: wall + age};
  }

  /**
   * Ends the spending of an incarnation that was recorded as ended, and asks to go
   * on as another one. The leader admits none while another process runs as this
   * instance.
   */
  private replaceIncarnation(incarnation: RouterIncarnation): void {
    if (this.grants.isOver) {
      this.logOtherProcess(incarnation);
      return;
    }
    const grants = this.grants.supersede();
    if (!this.grants.isClosed) this.identity.renew();
    this.ended.push({incarnation, grants});
    const {routerId: router, life} = incarnation;
    this.options.logger.error(
      {router, life, successor: this.identity.routerId},
      'this incarnation was recorded as ended; spending stops until another is admitted',
    );
  }

  /** Logs once that the leader doesn't admit this process. */
  private logOtherProcess({routerId: router, life}: RouterIncarnation): void {
    if (this.isNotAdmitted) return;
    this.isNotAdmitted = true;
    this.options.logger.error(
      {router, life},
      'another process runs as this instance; spending ends',
    );
  }

  private admitIncarnation(): void {
    this.isNotAdmitted = false;
    if (!this.grants.isOver) return;
    this.grants.admit();
    this.options.logger.info(
      {router: this.identity.routerId},
      'another incarnation is admitted; spending goes on',
    );
  }

  /** Reports what requests of ended incarnations used. */
  private async reportEnded(leader: string): Promise<void> {
    const {clock, logger, reportTimeoutMilliseconds} = this.options;
    for (const {incarnation, grants} of this.ended) {
      if (!grants.hasUnreported()) continue;
      const usages = grants.report();
      const report = this.identify(incarnation, {usages, isStopping: true});
      const call = this.calls.call(leader, 'usage', report, {
        timeoutMilliseconds: callLimitMilliseconds,
      });
      await settledWithin(
        clock,
        call.catch((error: unknown) => {
          const {routerId: router} = incarnation;
          logger.warn({err: error, router}, 'last usage was not reported');
        }),
        reportTimeoutMilliseconds,
      );
    }
    this.ended = this.ended.filter(
      ({grants}) => grants.hasUnreported() || !grants.isSettled(),
    );
  }

  /** Adds the fields of a report that name an incarnation. */
  private identify(
    {routerId, life, follows}: RouterIncarnation,
    fields: Pick<UsageReport, 'usages' | 'isStopping'> & Partial<UsageReport>,
  ): UsageReport {
    return {
      router: routerId,
      address: this.options.peerAddress,
      ...(this.options.proxy !== undefined && {isProxied: true}),
      ...(follows !== undefined && {follows}),
      life,
      ...fields,
    };
  }

  private async reportAtIntervals(): Promise<void> {
    const {clock, reportIntervalMilliseconds} = this.options;
    while (!this.isStopped) {
      await sleep(clock, reportIntervalMilliseconds);
      const now = clock.now();
      this.grants.tick(now);
      this.host.onTick();
      const isIdle = !this.grants.hasUnreported;
      if (isIdle && now - this.reportedAt < idleReportMilliseconds) continue;
      await this.report();
    }
  }

  /** Sends a report; resolves at its reply, or once that is late. */
  private async sendReport(): Promise<void> {
    const {clock, reportTimeoutMilliseconds} = this.options;
    const leader = this.host.leader();
    if (leader === undefined) return;
    const report = this.callWithReport(leader);
    await settledWithin(clock, report, reportTimeoutMilliseconds);
    if (this.ended.length > 0) await this.reportEnded(leader);
  }

  private async callWithReport(leader: string): Promise<void> {
    const {clock, logger, reportTimeoutMilliseconds} = this.options;
    const isFullReport =
      !this.grants.hasUnreported ||
      this.reportsSent++ % fullReportInterval === 0;
    const sentAt = clock.now();
    const time = {sentAt, wallSentAt: clock.wallNow()};
    this.reportedAt = sentAt;
    const leaderTime = this.leaderTime();
    const reportedWallAt = Math.floor(time.wallSentAt);
    const {usages, reportedAt} = this.grants.report(
      isFullReport,
      sentAt,
      this.aheadMilliseconds,
    );
    const incarnation = this.identity.current;
    const message = this.identify(incarnation, {
      isStopping: this.grants.isClosed,
      reportedAt,
      reportedWallAt,
      leaderTime,
      usages,
    });
    const pending = addPending(this.pendingReports);
    try {
      const call = this.calls.call<unknown>(leader, 'usage', message, {
        timeoutMilliseconds: callLimitMilliseconds,
        signal: pending.signal,
      });
      const response = await this.replies.count(
        'usage',
        call,
        reportTimeoutMilliseconds,
      );
      this.applyUsageReply(
        checkedMessage('UsageReply', response),
        leader,
        time,
        incarnation,
      );
    } catch (error) {
      logger.debug({err: error, leader}, 'usage report failed');
      this.reportsSent = 0;
    } finally {
      this.pendingReports.delete(pending);
    }
  }

  private applyUsageReply(
    reply: UsageReply,
    leader: string,
    time: LeaseRequestTime,
    incarnation: RouterIncarnation,
  ): void {
    const {clock} = this.options;
    const {sentAt} = time;
    if (reply.kind !== 'grants') {
      this.host.onHint(reply, leader, time);
      this.reportsSent = 0;
      return;
    }
    const delay = clock.now() - sentAt;
    this.reportDelay += reportDelayWeight * (delay - this.reportDelay);
    this.host.onGrants(reply, leader, time);
    // Late replies to an earlier incarnation grant nothing to this one.
    if (incarnation !== this.identity.current) return;
    if (reply.isOver === true) {
      this.replaceIncarnation(incarnation);
      return;
    }
    this.admitIncarnation();
    this.grants.confirm(reply.reportedAt);
    const {leaderTime} = reply;
    if (leaderTime !== undefined && sentAt >= this.leaderTimeSentAt) {
      this.leaderTimeSentAt = sentAt;
      this.lastLeaderTime = {reading: leaderTime, at: clock.now()};
    }
    for (const offer of reply.offers) this.grants.accept(offer, sentAt);
  }

  /** Time beyond a report interval until a report is confirmed. */
  private get aheadMilliseconds(): number {
    const ahead = this.reportDelay - this.options.reportIntervalMilliseconds;
    return Math.min(maxAheadMilliseconds, Math.max(0, ahead));
  }
}

/** Adds a call to the pending ones; the oldest one ends if there are too many. */
function addPending(pending: Set<AbortController>): AbortController {
  const [oldest] = pending;
  if (oldest !== undefined && pending.size >= maxPendingReports) {
    pending.delete(oldest);
    oldest.abort();
  }
  const controller = new AbortController();
  pending.add(controller);
  return controller;
}
