/**
 * @fileoverview Client of the control processes: follows their leader, watches
 * for changes, and reports token usage.
 */
import {
  applyChanges,
  type HeldGrants,
  type LeaseRequestTime,
  RouteTable,
} from '@dogwoodtrestle/fleet';
import {type PeerCallClient, sleep} from '@dogwoodtrestle/runtime';
import {
  type BackendServerRecord,
  checkedMessage,
  type ClockReading,
  type FleetConfiguration,
  type LeaderHint,
  type RouterLife,
  type WatchReply,
  type WatchRequest,
  type WatchUpdate,
} from '@dogwoodtrestle/schema';

import {type EdgeOptions} from './edgeOptions.js';
import {type WatchTopic} from './watchTopic.js';

/** Pause before the next control process is tried. */
const retryDelayMilliseconds = 60;

/** Control processes asked in parallel at start until a leader is found. */
const leaderProbesAtStart = 3;

/** Every n-th report names all workspaces, not only the changed ones. */
const fullReportInterval = 5;

/**
 * Interval of reports without changes. They renew the commitment, which bounds
 * what an incarnation may have spent when it ends, and serve as heartbeats.
 */
const idleReportMilliseconds = 1_200;

/** Time without contact after which the control processes are unreachable. */
const contactTimeoutMilliseconds = 2_500;

/** Receives changes other than those of the configuration. */
export interface ControlPlaneListener {
  /** Called with new and changed records of backend servers. */
  onServers(records: BackendServerRecord[]): void;
  /** Further subjects, applied after the records. */
  topics: readonly WatchTopic[];
}

/** Follows the leader of the control processes. */
export class ControlPlaneClient {
  private configuration?: FleetConfiguration;
  private routeTable?: RouteTable;
  private epoch = '';
  private revision = -1;
  private replicas: string[] = [];
  private leader?: string;
  private nextAddressIndex = 0;
  private lastContactAt = -Infinity;
  private isLost = true;
  private peers: string[] = [];
  private peersRevision = -1;
  /** Leader that sent the peers; `peersRevision` is valid for it only. */
  private peersSource?: string;
  private maxRouterCount = 1;
  private isStopped = false;
  private reportsSent = 0;
  private reportedAt = -Infinity;
  private isReporting = false;
  private reportWaiters: Array<() => void> = [];
  /** Last reading of a leader's clock, and the monotonic time of its arrival. */
  private lastLeaderTime?: {reading: ClockReading; at: number};

  constructor(
    private readonly options: EdgeOptions,
    private readonly calls: PeerCallClient,
    /** Generated at each start, to keep totals of incarnations apart. */
    private readonly routerId: string,
    private readonly life: RouterLife,
    private readonly grants: HeldGrants,
    private readonly listener: ControlPlaneListener,
  ) {}

  /** The active configuration; undefined before the first one. */
  get routes(): RouteTable | undefined {
    return this.routeTable;
  }

  /** Maximum number of live routers that a leader has ever reported. */
  get routerCount(): number {
    return this.maxRouterCount;
  }

  /** Whether a leader has replied recently. */
  get isConnected(): boolean {
    return (
      this.leader !== undefined &&
      this.contactAgeMilliseconds < contactTimeoutMilliseconds
    );
  }

  /** Peer addresses of all routers, including this one. */
  get routers(): readonly string[] {
    return this.peers;
  }

  /** Milliseconds since the last reply of a leader. */
  get contactAgeMilliseconds(): number {
    return this.options.clock.now() - this.lastContactAt;
  }

  /** Starts to watch for changes and to report usage. */
  start(): void {
    void this.watch();
    void this.reportAtIntervals();
  }

  /** Stops watching and periodic reports; calls in progress go on. */
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

  private async watch(): Promise<void> {
    await this.findLeader();
    while (!this.isStopped) {
      const address = this.leader ?? this.nextReplicaAddress();
      try {
        const time = this.requestTime();
        const reply = await this.requestUpdate(address);
        if (reply.kind === 'update') {
          this.applyUpdate(reply, address, time);
          continue;
        }
        this.applyHint(reply, address);
      } catch (error) {
        this.options.logger.debug({err: error, address}, 'watch failed');
        if (this.leader === address) this.leader = undefined;
      }
      this.detectContactLoss();
      await sleep(this.options.clock, retryDelayMilliseconds);
    }
  }

  /**
   * Asks several control processes in parallel: after a power failure some may
   * not respond until the connection times out.
   */
  private async findLeader(): Promise<void> {
    const probes = Array.from({length: leaderProbesAtStart}, () =>
      this.probeForLeader(),
    );
    await Promise.any(probes);
  }

  private async probeForLeader(): Promise<void> {
    const {clock, logger} = this.options;
    while (!this.isStopped && this.leader === undefined) {
      const address = this.nextReplicaAddress();
      try {
        const time = this.requestTime();
        const reply = await this.requestUpdate(address);
        if (reply.kind === 'update') this.applyUpdate(reply, address, time);
        else if (this.leader === undefined) this.applyHint(reply, address);
      } catch (error) {
        logger.debug({err: error, address}, 'watch failed');
      }
      if (this.leader === undefined) await sleep(clock, retryDelayMilliseconds);
    }
  }

  private requestTime(): LeaseRequestTime {
    const {clock} = this.options;
    return {sentAt: clock.now(), wallSentAt: clock.wallNow()};
  }

  private async requestUpdate(address: string): Promise<WatchReply> {
    const {watchTimeoutMilliseconds, peerAddress} = this.options;
    const {epoch} = this;
    const reports = this.listener.topics.map(topic => topic.report(epoch));
    const request: WatchRequest = {
      router: this.routerId,
      address: peerAddress,
      configurationVersion: this.configuration?.version ?? 0,
      epoch,
      revision: this.revision,
      peersRevision: this.peersSource === address ? this.peersRevision : -1,
    };
    for (const {fields} of reports) Object.assign(request, fields);
    const reply = await this.calls.call<WatchReply>(address, 'watch', request, {
      timeoutMilliseconds: watchTimeoutMilliseconds,
    });
    if (reply.kind === 'update') {
      const replier = reply.directory?.epoch ?? epoch;
      for (const {onReceived} of reports) onReceived?.(replier);
    }
    return reply;
  }

  private applyUpdate(
    update: WatchUpdate,
    address: string,
    time: LeaseRequestTime,
  ): void {
    const {clock, logger} = this.options;
    this.leader = address;
    this.lastContactAt = clock.now();
    if (this.isLost) {
      this.isLost = false;
      logger.info({leader: address}, 'control processes are reached');
    }
    this.replicas = update.replicas;
    if (update.peers !== undefined) {
      this.peers = update.peers;
      this.peersRevision = update.peersRevision;
      this.peersSource = address;
    }
    this.maxRouterCount = Math.max(this.maxRouterCount, update.routers);
    if (update.directory !== undefined) {
      const {epoch, revision, records} = update.directory;
      this.epoch = epoch;
      this.revision = revision;
      this.listener.onServers(records);
    }
    for (const topic of this.listener.topics) topic.apply(update, time);
    if (update.configuration === undefined) return;
    const next = applyChanges(this.configuration, update.configuration);
    if (next === undefined) return;
    if (next.version <= (this.configuration?.version ?? 0)) return;
    logger.info(
      {
        version: next.version,
        previous: this.configuration?.version,
        routes: next.routes.length,
      },
      'active configuration changed',
    );
    this.configuration = next;
    this.routeTable = new RouteTable(next);
  }

  private applyHint({leader, replicas}: LeaderHint, asked: string): void {
    if (replicas.length > 0) this.replicas = replicas;
    this.leader = leader === asked ? undefined : leader;
  }

  private detectContactLoss(): void {
    if (
      this.isLost ||
      this.contactAgeMilliseconds < contactTimeoutMilliseconds
    ) {
      return;
    }
    this.isLost = true;
    this.options.logger.warn(
      {
        contactAgeMilliseconds: Math.round(this.contactAgeMilliseconds),
        version: this.configuration?.version,
      },
      'control processes are out of reach',
    );
  }

  /** Lower bound of the current time by the last leader's clock. */
  private leaderTime(): ClockReading | undefined {
    if (this.lastLeaderTime === undefined) return undefined;
    const {reading, at} = this.lastLeaderTime;
    const age = Math.floor(this.options.clock.now() - at);
    const {clock, steady, wall} = reading;
    return {clock, steady: steady + age, wall: wall + age};
  }

  /** Returns the addresses of the known control processes in rotation. */
  private nextReplicaAddress(): string {
    const addresses = [...new Set([...this.replicas, ...this.options.seeds()])];
    return addresses[this.nextAddressIndex++ % addresses.length] ?? '';
  }

  /** Ends the spending of this incarnation; a newer one has its tokens. */
  private stopSpending(): void {
    if (this.grants.isOver) return;
    this.grants.supersede();
    const {life, routerId: router} = this;
    this.options.logger.error(
      {router, life},
      'another process runs as this instance; spending ends',
    );
  }

  private async reportAtIntervals(): Promise<void> {
    const {clock, reportIntervalMilliseconds} = this.options;
    while (!this.isStopped) {
      await sleep(clock, reportIntervalMilliseconds);
      const now = clock.now();
      this.grants.tick(now);
      const isIdle = !this.grants.hasUnreported;
      if (isIdle && now - this.reportedAt < idleReportMilliseconds) continue;
      await this.report();
    }
  }

  private async sendReport(): Promise<void> {
    const {clock, logger, reportTimeoutMilliseconds} = this.options;
    const {leader} = this;
    if (leader === undefined) return;
    const isFullReport =
      !this.grants.hasUnreported ||
      this.reportsSent++ % fullReportInterval === 0;
    this.reportedAt = clock.now();
    const leaderTime = this.leaderTime();
    const reportedWallAt = Math.floor(clock.wallNow());
    const {usages, reportedAt} = this.grants.report(isFullReport, clock.now());
    try {
      const response = await this.calls.call<unknown>(
        leader,
        'usage',
        {
          router: this.routerId,
          address: this.options.peerAddress,
          life: this.life,
          isStopping: this.grants.isClosed,
          reportedAt,
          reportedWallAt,
          leaderTime,
          usages,
        },
        {timeoutMilliseconds: reportTimeoutMilliseconds},
      );
      const reply = checkedMessage('UsageReply', response);
      if (reply.kind === 'grants') {
        if (reply.isOver === true) this.stopSpending();
        this.grants.confirm(reply.reportedAt);
        if (reply.leaderTime !== undefined) {
          this.lastLeaderTime = {reading: reply.leaderTime, at: clock.now()};
        }
        for (const offer of reply.offers) {
          this.grants.accept(offer, clock.now());
        }
        return;
      }
      this.applyHint(reply, leader);
    } catch (error) {
      logger.debug({err: error, leader}, 'usage report failed');
    }
    this.reportsSent = 0;
  }
}
