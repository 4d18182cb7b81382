/**
 * @fileoverview Tells routers what changed: the configuration and the backend
 * servers. A router's question waits until there is an answer.
 */
import {changesBetween, type ServerDirectory} from '@dogwoodtrestle/fleet';
import {
  type ConfigurationUpdate,
  type FleetConfiguration,
  type WatchReply,
  type WatchRequest,
} from '@dogwoodtrestle/schema';

import {type ReplicaGroup} from './replicaGroup.js';
import {type ControlOptions} from './controlOptions.js';

/** Configurations from which differences are made. */
const keptVersions = 8;

/** Time for which changes are gathered before routers are told. */
const gatherMilliseconds = 5;

/** A router that asked lately. */
interface KnownRouter {
  address: string;
  heardAt: number;
}

/** Answers the routers' questions for changes, while this process leads. */
export class WatchService {
  private readonly versions: FleetConfiguration[] = [];
  private readonly updates = new Map<number, ConfigurationUpdate>();
  private readonly waiting = new Set<() => void>();
  private readonly routers = new Map<string, KnownRouter>();
  private isGathering = false;
  private addresses: string[] = [];
  /** Changes with the addresses. */
  private addressesRevision = 0;

  constructor(
    private readonly options: Pick<
      ControlOptions,
      'clock' | 'watchMilliseconds' | 'routerLostAfterMilliseconds'
    >,
    private readonly group: ReplicaGroup,
    private readonly directory: ServerDirectory,
  ) {}

  /** Peer addresses of the routers that asked lately, in order. */
  get routerAddresses(): readonly string[] {
    return this.addresses;
  }

  /** Another configuration is in force. */
  putConfiguration(configuration: FleetConfiguration): void {
    this.versions.push(configuration);
    if (this.versions.length > keptVersions) this.versions.shift();
    this.updates.clear();
    this.wake();
  }

  /** Something changed; routers that wait are answered soon. */
  wake(): void {
    if (this.isGathering) return;
    this.isGathering = true;
    this.options.clock.setTimer(gatherMilliseconds, () => {
      this.isGathering = false;
      const waiting = [...this.waiting];
      this.waiting.clear();
      for (const answer of waiting) answer();
    });
  }

  async watch(request: WatchRequest): Promise<WatchReply> {
    const {watchMilliseconds} = this.options;
    if (!this.group.isLeader) return this.group.hint();
    this.note(request);
    if (!this.hasNews(request)) await this.change(watchMilliseconds);
    if (!this.group.isLeader) return this.group.hint();
    this.note(request);
    return {
      kind: 'update',
      configuration: this.updateFrom(request.configurationVersion),
      directory: this.directory.changesSince(request.epoch, request.revision),
      replicas: this.group.addresses,
      routers: this.routers.size,
      peersRevision: this.addressesRevision,
      peers:
        request.peersRevision === this.addressesRevision
          ? undefined
          : this.addresses,
    };
  }

  private note({router, address}: WatchRequest): void {
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

  private hasNews(request: WatchRequest): boolean {
    const {epoch, currentRevision} = this.directory;
    return (
      (this.versions.at(-1)?.version ?? 0) > request.configurationVersion ||
      request.epoch !== epoch ||
      request.revision !== currentRevision
    );
  }

  /** Resolves at the next change, or after a time. */
  private change(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const answer = () => {
        cancel();
        this.waiting.delete(answer);
        resolve();
      };
      const cancel = this.options.clock.setTimer(milliseconds, answer);
      this.waiting.add(answer);
    });
  }

  private updateFrom(version: number): ConfigurationUpdate | undefined {
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
