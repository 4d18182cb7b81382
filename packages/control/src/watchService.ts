/**
 * @fileoverview Notifies routers of changes of the configuration and the
 * backend servers by long polling.
 */
import {changesBetween, type ServerDirectory} from '@dogwoodtrestle/fleet';
import {
  type ConfigurationUpdate,
  type FleetConfiguration,
  type LeaderHint,
  type LeaderView,
  type WatchReply,
  type WatchRequest,
  type WatchUpdate,
} from '@dogwoodtrestle/schema';

import {type ControlOptions} from './controlOptions.js';
import {
  type KnownRouter,
  type KnownRouters,
  type StateVersions,
  versionsOf,
} from './knownRouters.js';
import {type ReplicaGroup} from './replicaGroup.js';
import {type WatchTopic} from './watchTopic.js';

/** Number of retained configurations; older ones get a full update. */
const maxVersions = 8;

/** How soon routers are notified of a change. */
export type Urgency = 'urgent' | 'normal';

/**
 * Delays that batch changes before routers are notified. Configurations and
 * departures are urgent; servers that start or are silent come in large numbers.
 */
const notifyDelayMilliseconds: Readonly<Record<Urgency, number>> = {
  urgent: 5,
  normal: 50,
};

/**
 * Interval at which a process checks whether it leads, and is confirmed, while
 * calls wait.
 */
const roleCheckMilliseconds = 20;

/**
 * Time after a reply with changes for which the same changes aren't sent again:
 * on a busy link the reply is still on its way.
 */
const resendAfterMilliseconds = 400;

/** Handles the routers' watch requests while this process leads. */
export class WatchService {
  private readonly versions: FleetConfiguration[] = [];
  private readonly updates = new Map<number, ConfigurationUpdate>();
  private readonly waiters = new Set<() => void>();
  private scheduledNotice?: {at: number; cancel: () => void};
  private isRoleCheckScheduled = false;
  private role = '';

  constructor(
    private readonly options: Pick<
      ControlOptions,
      'clock' | 'watchMilliseconds'
    >,
    private readonly group: ReplicaGroup,
    private readonly directory: ServerDirectory,
    private readonly topics: readonly WatchTopic[],
    private readonly routers: KnownRouters,
  ) {
    routers.update(this.requiredVersions);
  }

  /** Number of calls that wait for changes, or until this leader is confirmed. */
  get waitingCalls(): number {
    return this.waiters.size;
  }

  /** Number of routers that lack a change. */
  get routersBehind(): number {
    return this.routers.behindCount;
  }

  /** Versions of the state that a router gets in a reply now. */
  get currentVersions(): StateVersions {
    const {epoch, currentRevision} = this.directory;
    return {
      configurationVersion: this.versions.at(-1)?.version ?? 0,
      epoch,
      revision: currentRevision,
    };
  }

  /** Versions that a router must have, as others depend on it. */
  private get requiredVersions(): StateVersions {
    return {
      ...this.currentVersions,
      revision: this.directory.departureRevision,
    };
  }

  /**
   * Returns what this leader vouches for in a reply to a request that was
   * received at a monotonic time; undefined if it can't.
   */
  view(receivedAt: number): LeaderView | undefined {
    const {confirmedAt} = this.group;
    if (confirmedAt === undefined) return undefined;
    const confirmedMilliseconds = Math.floor(confirmedAt - receivedAt);
    return {
      ...this.currentVersions,
      term: this.group.term,
      departureRevision: this.directory.departureRevision,
      confirmedMilliseconds,
    };
  }

  /** Reply to calls that only a confirmed leader can handle. */
  leaderHint(): LeaderHint {
    const {configurationVersion} = this.currentVersions;
    return {...this.group.leaderHint(), configurationVersion};
  }

  /** Notes a router that sent another call than a watch request. */
  noteRouter(router: Pick<WatchRequest, 'router' | 'address'>): void {
    this.routers.note(router);
  }

  /** Adds the newly active configuration and notifies routers. */
  putConfiguration(configuration: FleetConfiguration): void {
    this.versions.push(configuration);
    if (this.versions.length > maxVersions) this.versions.shift();
    this.updates.clear();
    this.notifyWatchers();
  }

  /** Schedules replies to all pending watch requests. */
  notifyWatchers(urgency: Urgency = 'urgent'): void {
    this.routers.update(this.requiredVersions);
    const {clock} = this.options;
    const delay = notifyDelayMilliseconds[urgency];
    const at = clock.now() + delay;
    if (this.scheduledNotice !== undefined) {
      if (this.scheduledNotice.at <= at) return;
      this.scheduledNotice.cancel();
    }
    const cancel = clock.setTimer(delay, () => {
      this.scheduledNotice = undefined;
      this.resumeWaiters();
    });
    this.scheduledNotice = {at, cancel};
  }

  /**
   * Replies with the changes since the versions in the request, as soon as
   * there are any, or after the long poll timeout. A process that doesn't lead,
   * or can't vouch for its state, replies with a leader hint.
   */
  async watch(request: WatchRequest): Promise<WatchReply> {
    const {clock} = this.options;
    const receivedAt = clock.now();
    if (!(await this.waitForConfirmation())) return this.leaderHint();
    const router = this.routers.record(request);
    // Every topic records the request, also after another one has news.
    const topicsWithNews = this.topics.filter(topic => topic.record(request));
    if (topicsWithNews.length > 0) this.notifyWatchers();
    await this.waitForNews(request, router);
    if (!this.group.leadsWithQuorum) return this.leaderHint();
    if (!(await this.waitForConfirmation())) return this.leaderHint();
    const notices = this.topics.map(topic => topic.notice(request));
    const directory = this.directory.changesSince(
      request.epoch,
      request.revision,
    );
    const configuration = this.buildUpdate(request.configurationVersion);
    if (directory !== undefined || configuration !== undefined) {
      router.answeredAt = clock.now();
      router.answer = {base: versionsOf(request), sent: this.currentVersions};
    }
    const update: WatchUpdate = {
      kind: 'update',
      view: this.view(receivedAt),
      configuration,
      directory,
      replicas: this.group.addresses,
      routers: this.routers.count,
      peersRevision: this.routers.addressesRevision,
      peers: this.peersFor(request),
    };
    for (const notice of notices) Object.assign(update, notice);
    return update;
  }

  /**
   * Returns the addresses of all routers if the router lacks some. It keeps those
   * of a former leader until this one has heard of all routers.
   */
  private peersFor({epoch, peersRevision}: WatchRequest): string[] | undefined {
    const {addresses, addressesRevision, isComplete} = this.routers;
    const hasOthers = peersRevision < 0 && epoch !== '';
    if (!isComplete && hasOthers) return undefined;
    return peersRevision === addressesRevision ? undefined : [...addresses];
  }

  /**
   * Waits until this leader can vouch for its state or leads no more, at most as
   * long as a call without news, and resolves with whether it can.
   */
  private async waitForConfirmation(): Promise<boolean> {
    const {clock, watchMilliseconds} = this.options;
    const deadline = clock.now() + watchMilliseconds;
    while (!this.group.isConfirmedLeader) {
      const left = deadline - clock.now();
      if (!this.group.isLeader || left <= 0) return false;
      await this.waitForChange(left);
    }
    return true;
  }

  /** Waits for a reason to reply, for the time that the request allows. */
  private async waitForNews(
    request: WatchRequest,
    router: KnownRouter,
  ): Promise<void> {
    const {clock, watchMilliseconds} = this.options;
    if (!this.hasChanges(request)) {
      const {waitMilliseconds = watchMilliseconds} = request;
      await this.waitForChange(Math.min(waitMilliseconds, watchMilliseconds));
    } else if (this.isBeingSent(request, router)) {
      const left = router.answeredAt + resendAfterMilliseconds - clock.now();
      if (left > 0) await this.waitForChange(left);
    }
  }

  private hasChanges({
    configurationVersion,
    epoch,
    revision,
  }: StateVersions): boolean {
    const current = this.currentVersions;
    return (
      current.configurationVersion > configurationVersion ||
      epoch !== current.epoch ||
      revision !== current.revision
    );
  }

  /** Whether the router was sent all changes, and may not have got them yet. */
  private isBeingSent(request: WatchRequest, {answer}: KnownRouter): boolean {
    return (
      answer !== undefined &&
      isSameVersions(request, answer.base) &&
      isSameVersions(answer.sent, this.currentVersions)
    );
  }

  /** Resolves at the next change or after a timeout. */
  private waitForChange(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const resume = () => {
        cancel();
        this.waiters.delete(resume);
        resolve();
      };
      const cancel = this.options.clock.setTimer(milliseconds, resume);
      if (this.waiters.size === 0) this.role = this.currentRole;
      this.waiters.add(resume);
      this.scheduleRoleCheck();
    });
  }

  private resumeWaiters(): void {
    const waiters = [...this.waiters];
    this.waiters.clear();
    for (const resume of waiters) resume();
  }

  private get currentRole(): string {
    const {isLeader, isConfirmedLeader} = this.group;
    return `${isLeader} ${isConfirmedLeader}`;
  }

  /** Ends waits when this process becomes a confirmed leader, or leads no more. */
  private scheduleRoleCheck(): void {
    if (this.isRoleCheckScheduled) return;
    this.isRoleCheckScheduled = true;
    this.options.clock.setTimer(roleCheckMilliseconds, () => {
      this.isRoleCheckScheduled = false;
      const role = this.currentRole;
      if (role !== this.role) this.resumeWaiters();
      this.role = role;
      if (this.waiters.size > 0) this.scheduleRoleCheck();
    });
  }

  private buildUpdate(version: number): ConfigurationUpdate | undefined {
    const newest = this.versions.at(-1);
    if (newest === undefined || newest.version <= version) return undefined;
    let update = this.updates.get(version);
    if (update === undefined) {
      const base = this.versions.find(known => known.version === version);
      update = changesBetween(base, newest);
      this.updates.set(version, update);
    }
    return update;
  }
}

function isSameVersions(a: StateVersions, b: StateVersions): boolean {
  return (
    a.configurationVersion === b.configurationVersion &&
    a.epoch === b.epoch &&
    a.revision === b.revision
  );
}
