/**
 * @fileoverview Notifies routers of changes of the configuration and the
 * backend servers by long polling.
 */
import {bootstrapTerm} from '@dogwoodtrestle/consensus';
import {
  changesBetween,
  type LimitShares,
  type ServerDirectory,
} from '@dogwoodtrestle/fleet';
import {
  type ConfigurationUpdate,
  type FleetConfiguration,
  type LimitNotice,
  type WatchReply,
  type WatchRequest,
} from '@dogwoodtrestle/schema';

import {type ControlOptions} from './controlOptions.js';
import {type ReplicaGroup} from './replicaGroup.js';

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
    private readonly limitShares: LimitShares,
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
    this.recordLimits(request);
    if (!this.hasChanges(request)) await this.waitForChange(watchMilliseconds);
    if (!this.group.isLeader) return this.group.leaderHint();
    this.recordRouter(request);
    return {
      kind: 'update',
      configuration: this.buildUpdate(request.configurationVersion),
      directory: this.directory.changesSince(request.epoch, request.revision),
      limits: this.limitNotices(request.router),
      replicas: this.group.addresses,
      routers: this.routers.size,
      peersRevision: this.addressesRevision,
      peers:
        request.peersRevision === this.addressesRevision
          ? undefined
          : this.addresses,
    };
  }

  /** Records limits of backend servers; all routers hear of a change at once. */
  private recordLimits({router, limits = []}: WatchRequest): void {
    const now = this.options.clock.now();
    const {term} = this.group;
    const isFirst = term === bootstrapTerm + 1;
    this.limitShares.enterTerm({term, isFirst}, now);
    if (this.limitShares.record(router, limits, now)) this.notifyWatchers();
  }

  /** Returns all limits, with the router's leases if this process may grant any. */
  private limitNotices(router: string): LimitNotice[] | undefined {
    if (!this.group.leadsWithQuorum) return undefined;
    const now = this.options.clock.now();
    const notices = this.limitShares.notices(router, now);
    return notices.length > 0 ? notices : undefined;
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
