/**
 * @fileoverview Notifies routers of changes of the configuration and the
 * backend servers by long polling.
 */
import {changesBetween, type ServerDirectory} from '@dogwoodtrestle/fleet';
import {
  type ConfigurationUpdate,
  type FleetConfiguration,
  type WatchReply,
  type WatchRequest,
  type WatchUpdate,
} from '@dogwoodtrestle/schema';

import {type ControlOptions} from './controlOptions.js';
import {type ReplicaGroup} from './replicaGroup.js';
import {type WatchTopic} from './watchTopic.js';

/** Number of retained configurations; older ones get a full update. */
const maxVersions = 8;

/** Delay that batches changes before routers are notified. */
const notifyDelayMilliseconds = 5;

/** A router that sent a watch request recently. */
interface KnownRouter {
  address: string;
  heardAt: number;
}

/** Handles the routers' watch requests while this process leads. */
export class WatchService {
  private readonly versions: FleetConfiguration[] = [];
  private readonly updates = new Map<number, ConfigurationUpdate>();
  private readonly waiters = new Set<() => void>();
  private readonly routers = new Map<string, KnownRouter>();
  private isNotifyScheduled = false;
  private addresses: string[] = [];
  /** Incremented when the addresses change. */
  private addressesRevision = 0;

  constructor(
    private readonly options: Pick<
      ControlOptions,
      'clock' | 'watchMilliseconds' | 'routerLostAfterMilliseconds'
    >,
    private readonly group: ReplicaGroup,
    private readonly directory: ServerDirectory,
    private readonly topics: readonly WatchTopic[],
  ) {}

  /** Peer addresses of recently seen routers, sorted. */
  get routerAddresses(): readonly string[] {
    return this.addresses;
  }

  /** Adds the newly active configuration and notifies routers. */
  putConfiguration(configuration: FleetConfiguration): void {
    this.versions.push(configuration);
    if (this.versions.length > maxVersions) this.versions.shift();
    this.updates.clear();
    this.notifyWatchers();
  }

  /** Schedules replies to all pending watch requests. */
  notifyWatchers(): void {
    if (this.isNotifyScheduled) return;
    this.isNotifyScheduled = true;
    this.options.clock.setTimer(notifyDelayMilliseconds, () => {
      this.isNotifyScheduled = false;
      const waiters = [...this.waiters];
      this.waiters.clear();
      for (const resume of waiters) resume();
    });
  }

  /**
   * Replies with the changes since the versions in the request, as soon as
   * there are any, or after the long poll timeout. A process that doesn't lead
   * replies with a leader hint.
   */
  async watch(request: WatchRequest): Promise<WatchReply> {
    const {watchMilliseconds} = this.options;
    if (!this.group.isLeader) return this.group.leaderHint();
    this.recordRouter(request);
    // Every topic records the request, also after another one has news.
    const topicsWithNews = this.topics.filter(topic => topic.record(request));
    if (topicsWithNews.length > 0) this.notifyWatchers();
    if (!this.hasChanges(request)) await this.waitForChange(watchMilliseconds);
    if (!this.group.isLeader) return this.group.leaderHint();
    this.recordRouter(request);
    const notices = this.topics.map(topic => topic.notice(request));
    const update: WatchUpdate = {
      kind: 'update',
      configuration: this.buildUpdate(request.configurationVersion),
      directory: this.directory.changesSince(request.epoch, request.revision),
      replicas: this.group.addresses,
      routers: this.routers.size,
      peersRevision: this.addressesRevision,
      peers:
        request.peersRevision === this.addressesRevision
          ? undefined
          : this.addresses,
    };
    for (const notice of notices) Object.assign(update, notice);
    return update;
  }

  private recordRouter({router, address}: WatchRequest): void {
    const {clock, routerLostAfterMilliseconds} = this.options;
    const now = clock.now();
    let isChanged = this.routers.get(router)?.address !== address;
    this.routers.set(router, {address, heardAt: now});
    for (const [name, {heardAt}] of this.routers) {
      if (now - heardAt <= routerLostAfterMilliseconds) continue;
      this.routers.delete(name);
      isChanged = true;
    }
    if (!isChanged) return;
    const addresses = [...this.routers.values()].map(({address}) => address);
    this.addresses = [...new Set(addresses)].sort();
    this.addressesRevision++;
  }

  private hasChanges(request: WatchRequest): boolean {
    const {epoch, currentRevision} = this.directory;
    return (
      (this.versions.at(-1)?.version ?? 0) > request.configurationVersion ||
      request.epoch !== epoch ||
      request.revision !== currentRevision
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
      this.waiters.add(resume);
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
