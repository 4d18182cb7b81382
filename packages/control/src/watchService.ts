/**
 * @fileoverview Notifies routers of changes of the configuration, the
 * evacuations and the backend servers by long polling.
 */
import {
  ConfigurationHistory,
  noEvacuations,
  type ServerDirectory,
} from '@dogwoodtrestle/fleet';
import {CallContext, shareEncoding} from '@dogwoodtrestle/runtime';
import {
  type ConfigurationUpdate,
  type DirectoryUpdate,
  type Evacuations,
  type FleetConfiguration,
  type LeaderHint,
  type LeaderView,
  type WatchReply,
  type WatchRequest,
  type WatchUpdate,
} from '@dogwoodtrestle/schema';

import {type ControlOptions} from './controlOptions.js';
import {DeliveryQueue} from './deliveryQueue.js';
import {
  type Delivery,
  type KnownRouter,
  type KnownRouters,
  type StateVersions,
  versionsOf,
} from './knownRouters.js';
import {type ReplicaGroup} from './replicaGroup.js';
import {type WatchTopic} from './watchTopic.js';

/** How soon routers are notified of a change. */
export type Urgency = 'urgent' | 'normal';

/**
 * Delays that batch changes before routers are notified. Configurations,
 * evacuations and departures are urgent; servers that start or are silent come in large numbers.
 */
const notifyDelayMilliseconds: Readonly<Record<Urgency, number>> = {
  urgent: 5,
  normal: 50,
};

/**
 * Time between two rounds of replies for each router, so that many changes don't
 * take all of the processor: a round costs a reply and a call of each router.
 */
const roundMillisecondsPerRouter = 0.7;

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

/** Time after which a reply with changes that was not handed over is lost. */
const maxDeliveryMilliseconds = 1_000;

/** Key of the update that has the whole directory. */
const wholeDirectory = -1;

/** Handles the routers' watch requests while this process leads. */
export class WatchService {
  private readonly configurations = new ConfigurationHistory();
  private evacuations = noEvacuations;
  /** By the revision that they start from, up to one revision. */
  private readonly directoryUpdates = new Map<number, DirectoryUpdate>();
  private directoryRevision = 0;
  private readonly deliveries: DeliveryQueue;
  private readonly waiters = new Set<() => void>();
  private scheduledNotice?: {at: number; cancel: () => void};
  /** When all waiting calls were last replied to. */
  private lastRoundAt = -Infinity;
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
    this.deliveries = new DeliveryQueue(options.clock);
    routers.update(this.requiredVersions);
  }

  /** Number of calls that wait for changes, or until this leader is confirmed. */
  get waitingCalls(): number {
    return this.waiters.size;
  }

  /** Number of replies with changes that wait until others are on their way. */
  get waitingDeliveries(): number {
    return this.deliveries.waitingCount;
  }

  /** Number of routers that lack a change. */
  get routersBehind(): number {
    return this.routers.behindCount;
  }

  /** Versions of the state that a router gets in a reply now. */
  get currentVersions(): StateVersions {
    const {epoch, currentRevision} = this.directory;
    return {
      configurationVersion: this.configurations.newest?.version ?? 0,
      epoch,
      revision: currentRevision,
      evacuationRevision: this.evacuations.revision,
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
    const {configurationVersion, evacuationRevision} = this.currentVersions;
    const hint = this.group.leaderHint();
    return {...hint, configurationVersion, evacuationRevision};
  }

  /** Notes a router that sent another call than a watch request. */
  noteRouter(router: Pick<WatchRequest, 'router' | 'address'>): void {
    this.routers.note(router);
  }

  /** Adds the newly active configuration and notifies routers. */
  putConfiguration(configuration: FleetConfiguration): void {
    this.configurations.add(configuration);
    this.notifyWatchers();
  }

  /** Sets the evacuated failure domains and notifies routers. */
  putEvacuations(evacuations: Evacuations): void {
    this.evacuations = evacuations;
    this.notifyWatchers();
  }

  /** Schedules replies to all pending watch requests. */
  notifyWatchers(urgency: Urgency = 'urgent'): void {
    this.routers.update(this.requiredVersions);
    const {clock} = this.options;
    const now = clock.now();
    const nextRoundAt =
      this.lastRoundAt + this.routers.count * roundMillisecondsPerRouter;
    const delay = Math.max(notifyDelayMilliseconds[urgency], nextRoundAt - now);
    const at = now + delay;
    if (this.scheduledNotice !== undefined) {
      if (this.scheduledNotice.at <= at) return;
      this.scheduledNotice.cancel();
    }
    const cancel = clock.setTimer(delay, () => {
      this.scheduledNotice = undefined;
      this.lastRoundAt = clock.now();
      this.resumeWaiters();
    });
    this.scheduledNotice = {at, cancel};
  }

  /**
   * Replies with the changes since the versions in the request, as soon as
   * there are any, or after the long poll timeout. A process that doesn't lead,
   * or can't vouch for its state, replies with a leader hint.
   */
  async watch(request: WatchRequest, call?: CallContext): Promise<WatchReply> {
    const {clock} = this.options;
    const receivedAt = clock.now();
    if (!(await this.waitForConfirmation())) return this.leaderHint();
    const router = this.routers.record(request);
    // Every topic records the request, also after another one has news.
    const topicsWithNews = this.topics.filter(topic => topic.record(request));
    if (topicsWithNews.length > 0) this.notifyWatchers();
    const hasOwnNews = this.topics.some(topic => topic.hasNewsFor?.(request));
    // Changes that are on their way are not sent again for other news.
    if (!hasOwnNews || this.hasChanges(request, router)) {
      await this.waitForNews(request, router);
    }
    const end = await this.startDelivery(request, router, call);
    if (!this.group.leadsWithQuorum || !(await this.waitForConfirmation())) {
      end();
      return this.leaderHint();
    }
    if (call === undefined) end();
    return this.buildUpdate(request, router, receivedAt);
  }

  /**
   * Waits until a reply with changes may be sent, if the router lacks any.
   *
   * @param call Ends the delivery, as soon as the reply is handed over.
   * @returns Ends the delivery before that.
   */
  private async startDelivery(
    request: WatchRequest,
    router: KnownRouter,
    call = new CallContext(),
  ): Promise<() => void> {
    if (!this.hasChanges(request, router)) return () => undefined;
    const {clock} = this.options;
    const base = this.baseOf(request, router);
    const delivery: Delivery = {
      call,
      startedAt: clock.now(),
      base,
      sent: this.currentVersions,
    };
    router.delivery = delivery;
    const release = await this.deliveries.take();
    delivery.base = this.baseOf(request, router);
    delivery.sent = this.currentVersions;
    const end = () => {
      delivery.endedAt ??= clock.now();
      release();
    };
    call.onEnd(end);
    return end;
  }

  private buildUpdate(
    request: WatchRequest,
    router: KnownRouter,
    receivedAt: number,
  ): WatchUpdate {
    const notices = this.topics.map(topic => topic.notice(request));
    const base = this.baseOf(request, router);
    const update: WatchUpdate = {
      kind: 'update',
      view: this.view(receivedAt),
      configuration: this.configurationSince(base),
      directory: this.directorySince(base),
      evacuations: this.evacuationsSince(base),
      replicas: this.group.addresses,
      routers: this.routers.count,
      peersRevision: this.routers.addressesRevision,
      peers: this.peersFor(request),
    };
    for (const notice of notices) Object.assign(update, notice);
    return update;
  }

  /**
   * Returns the versions from which a router needs changes: those of the request,
   * or those that a later request of it has shown.
   */
  private baseOf(request: WatchRequest, {applied}: KnownRouter): StateVersions {
    const own = versionsOf(request);
    const configurationVersion = Math.max(
      own.configurationVersion,
      applied.configurationVersion,
    );
    const evacuationRevision = Math.max(
      own.evacuationRevision ?? 0,
      applied.evacuationRevision ?? 0,
    );
    const {epoch} = this.directory;
    const versions = {configurationVersion, evacuationRevision};
    if (applied.epoch !== epoch) return {...own, ...versions};
    const known = own.epoch === epoch ? own.revision : applied.revision;
    const revision = Math.max(known, applied.revision);
    return {...versions, epoch, revision};
  }

  /**
   * Returns the addresses of all routers if the router lacks some. It keeps those
   * of a former leader until this one has heard of all routers.
   */
  private peersFor({epoch, peersRevision}: WatchRequest): string[] | undefined {
    const {addresses, addressesRevision, isComplete} = this.routers;
    const hasOthers = peersRevision < 0 && epoch !== '';
    if (!isComplete && hasOthers) return undefined;
    if (peersRevision === addressesRevision) return undefined;
    return shareEncoding(addresses as string[]);
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
    const {watchMilliseconds} = this.options;
    if (!this.hasChanges(request, router)) {
      const {waitMilliseconds = watchMilliseconds} = request;
      await this.waitForChange(Math.min(waitMilliseconds, watchMilliseconds));
    }
    while (this.hasChanges(request, router)) {
      const left = this.timeUntilDelivery(request, router);
      if (left <= 0) return;
      const {delivery} = router;
      const isOnItsWay = delivery?.endedAt === undefined;
      await this.waitForChange(left, isOnItsWay ? delivery?.call : undefined);
    }
  }

  /** Time for which a router gets no other reply with changes. */
  private timeUntilDelivery(
    request: WatchRequest,
    router: KnownRouter,
  ): number {
    const {delivery} = router;
    if (delivery === undefined) return 0;
    const {call, base, sent, startedAt, endedAt} = delivery;
    const now = this.options.clock.now();
    if (endedAt === undefined) {
      // A caller that has gone while its reply waited leaves its place to others.
      const isGone = call.hasEnded;
      return isGone ? 0 : startedAt + maxDeliveryMilliseconds - now;
    }
    const isSameReply =
      isSameVersions(this.baseOf(request, router), base) &&
      isSameVersions(sent, this.currentVersions);
    return isSameReply ? endedAt + resendAfterMilliseconds - now : 0;
  }

  private hasChanges(request: WatchRequest, router: KnownRouter): boolean {
    const base = this.baseOf(request, router);
    const current = this.currentVersions;
    return (
      current.configurationVersion > base.configurationVersion ||
      this.evacuationsSince(base) !== undefined ||
      current.epoch !== base.epoch ||
      current.revision !== base.revision
    );
  }

  /** Resolves at the next change, at the end of a call, or after a timeout. */
  private waitForChange(
    milliseconds: number,
    call?: CallContext,
  ): Promise<void> {
    return new Promise(resolve => {
      const resume = () => {
        cancel();
        this.waiters.delete(resume);
        resolve();
      };
      const cancel = this.options.clock.setTimer(milliseconds, resume);
      if (this.waiters.size === 0) this.role = this.currentRole;
      this.waiters.add(resume);
      call?.onEnd(resume);
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

  private configurationSince({
    configurationVersion,
  }: StateVersions): ConfigurationUpdate | undefined {
    const update = this.configurations.updateSince(configurationVersion);
    return update && shareEncoding(update);
  }

  private evacuationsSince({
    evacuationRevision = 0,
  }: StateVersions): Evacuations | undefined {
    const {evacuations} = this;
    return evacuations.revision > evacuationRevision ? evacuations : undefined;
  }

  private directorySince({
    epoch,
    revision,
  }: StateVersions): DirectoryUpdate | undefined {
    const {directory, directoryUpdates} = this;
    if (directory.currentRevision !== this.directoryRevision) {
      this.directoryRevision = directory.currentRevision;
      directoryUpdates.clear();
    }
    const key = epoch === directory.epoch ? revision : wholeDirectory;
    const known = directoryUpdates.get(key);
    if (known !== undefined) return known;
    const update = directory.changesSince(epoch, revision);
    if (update === undefined) return undefined;
    directoryUpdates.set(key, shareEncoding(update));
    return update;
  }
}

function isSameVersions(a: StateVersions, b: StateVersions): boolean {
  return (
    a.configurationVersion === b.configurationVersion &&
    (a.evacuationRevision ?? 0) === (b.evacuationRevision ?? 0) &&
    a.epoch === b.epoch &&
    a.revision === b.revision
  );
}
