/**
 * @fileoverview Shares records of instances and backend servers by gossip.
 *
 * Each round requests records newer than the local ones from a few peers.
 * Records are sent with their ages. The receiver adds the time since before it
 * sent the request, so that an age is never underestimated.
 */
import {
  choosePeers,
  BackendDirectory,
  type InstanceRecord,
  InstanceTable,
  peerAddressOf,
} from '@dogwoodtrestle/routing';
import {
  type Announcement,
  type BackendView,
  type FarewellRequest,
  type GossipReply,
  type GossipRequest,
  type InstanceView,
  type Settings,
} from '@dogwoodtrestle/schema';

import {PeerRejectedError} from '../peer/peerErrors.js';
import {backendViewOf, instanceViewOf} from './membershipViews.js';
import {type Clock, systemClock} from '@dogwoodtrestle/runtime';
import {type Logger, silentLogger} from '@dogwoodtrestle/runtime';
import {type Metrics, silentMetrics} from '../util/metrics.js';
import {PeriodicTask} from '@dogwoodtrestle/runtime';
import {GossipExchange} from './gossipExchange.js';

/** Configuration status that the own record contains. */
export interface InstanceStatus {
  revision: number;
  renewedMillisecondsAgo: number;
}

/** Dependencies and settings of the membership. */
export interface MembershipOptions {
  settings: Settings;
  /** Start time of this process in milliseconds since the epoch. */
  incarnation: number;
  /** Requests newer records from a peer; rejects if it can't be reached. */
  exchange: (address: string, request: GossipRequest) => Promise<GossipReply>;
  /** Tells a peer that this instance is leaving. */
  sendFarewell: (address: string, request: FarewellRequest) => Promise<void>;
  /** Returns the current status; read each time the own record is renewed. */
  status: () => InstanceStatus;
  /** Number of requests of this instance in flight at a backend server. */
  inFlight?: (backend: string) => number;
  /** Whether this instance has ejected a backend server. */
  isEjected?: (backend: string) => boolean;
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
  roundMilliseconds?: number;
  /** Number of peers that each round sends a request to. */
  fanout?: number;
}

const defaultOptions = {
  inFlight: () => 0,
  isEjected: () => false,
  clock: systemClock,
  logger: silentLogger,
  metrics: silentMetrics,
  roundMilliseconds: 300,
  fanout: 1,
};

const roundJitter = 0.2;
const maximumAgeMilliseconds = 1_000_000_000; // JSON has no infinity

/** Returns the peer address (host:port) at which others reach this instance. */
export function ownPeerAddress({instance, listeners}: Settings): string {
  const {address} = instance;
  const port = listeners.advertisedPeerPort ?? listeners.peerPort;
  return peerAddressOf({address, peerPort: port});
}

/** Instances and backend servers known to this instance. */
export class Membership {
  readonly directory: BackendDirectory;
  private readonly options: Required<MembershipOptions>;
  private readonly table: InstanceTable;
  private readonly gossip: GossipExchange;
  private readonly rounds: PeriodicTask;
  private readonly reportedFindings = new Set<string>();
  private leaving = false;
  private receivedGossipReply = false;

  constructor(options: MembershipOptions) {
    this.options = {...defaultOptions, ...options};
    const {settings, clock, logger, roundMilliseconds} = this.options;
    const {silentAfterMilliseconds} = settings.backends;
    this.directory = new BackendDirectory({silentAfterMilliseconds});
    this.table = new InstanceTable(this.initialRecord(), clock.now());
    this.gossip = new GossipExchange({
      table: this.table,
      directory: this.directory,
      address: ownPeerAddress(settings),
      clock,
      send: this.options.exchange,
    });
    this.rounds = new PeriodicTask({
      name: 'membership round',
      clock,
      logger,
      intervalMilliseconds: roundMilliseconds,
      jitter: roundJitter,
      run: () => this.runRound(),
    });
  }

  /** Starts the periodic gossip rounds. */
  start(): void {
    this.rounds.start();
  }

  /** Stops the periodic gossip rounds. */
  async stop(): Promise<void> {
    await this.rounds.stop();
  }

  /** Tells all live peers that this instance accepts no more work. */
  async leave(): Promise<void> {
    this.leaving = true;
    this.renewOwnRecord();
    const request = {record: this.table.ownRecord};
    const {sendFarewell} = this.options;
    await Promise.allSettled(
      this.livePeers().map(record =>
        sendFarewell(peerAddressOf(record), request),
      ),
    );
  }

  /** Answers a gossip request of a peer. */
  answerGossip(request: GossipRequest): GossipReply {
    // Without this, no instance would pull from one that no settings list.
    if (this.isNewPeer(request.from)) {
      this.pullFrom(request.from.address).catch(() => undefined);
    }
    return this.gossip.handleRequest(request);
  }

  /** Merges the last record of an instance that is leaving. */
  receiveFarewell({record}: FarewellRequest): void {
    // A delayed message must not make the record look fresh.
    const ageMilliseconds = this.ageOf(record.name) ?? maximumAgeMilliseconds;
    this.table.merge([{record, ageMilliseconds}], this.options.clock.now());
  }

  /**
   * Stores an announcement that a backend server made to this instance, unless
   * a newer one is known.
   */
  announce(announcement: Announcement): 'accepted' | 'stale' {
    const held = this.directory.get(announcement.name)?.announcement;
    if (held !== undefined && isOlder(announcement, held)) return 'stale';
    this.gossip.observe(announcement);
    return 'accepted';
  }

  /** Returns the newest record of an instance in any state. */
  instance(name: string): InstanceRecord | undefined {
    return this.table.get(name);
  }

  /** Whether an instance is known and not silent. */
  isAlive(name: string): boolean {
    return this.entries().some(
      ({record, state}) => record.name === name && state !== 'silent',
    );
  }

  /** Identity of this process as a holder: `name#incarnation`. */
  get holder(): string {
    const {settings, incarnation} = this.options;
    return `${settings.instance.name}#${incarnation}`;
  }

  /**
   * Whether a holder's process is alive, which it isn't if the instance has
   * been restarted since.
   */
  isHolderAlive(holder: string): boolean {
    return this.holderAddress(holder) !== undefined;
  }

  /** Returns the peer address of a holder's process if it is alive. */
  holderAddress(holder: string): string | undefined {
    const [name = ''] = holder.split('#');
    const record = this.table.get(name);
    if (record === undefined || !this.isAlive(name)) return undefined;
    const isSame = holder === `${name}#${record.incarnation}`;
    return isSame ? peerAddressOf(record) : undefined;
  }

  /** Returns the newest peer address of an instance in any state. */
  addressOf(name: string): string | undefined {
    const record = this.table.get(name);
    return record && peerAddressOf(record);
  }

  /** Returns all other instances that are not silent. */
  livePeers(): InstanceRecord[] {
    const self = this.table.ownRecord.name;
    return this.entries()
      .filter(({record, state}) => state !== 'silent' && record.name !== self)
      .map(({record}) => record);
  }

  /**
   * Returns the other ledger instances that are not silent, those in this
   * instance's failure domain first.
   */
  ledgerPeers(): InstanceRecord[] {
    const {failureDomain} = this.table.ownRecord;
    const peers = this.livePeers().filter(isLedger);
    const near = peers.filter(peer => peer.failureDomain === failureDomain);
    const far = peers.filter(peer => peer.failureDomain !== failureDomain);
    return [...near, ...far];
  }

  /**
   * Returns the peer addresses of ledger instances: this instance if it is one,
   * the known ones as ordered by `ledgerPeers`, the initial replicas, and the
   * seeds if no ledger instance is known.
   */
  ledgerAddresses(): string[] {
    const {settings} = this.options;
    const {ownRecord: own} = this.table;
    const known = [...(isLedger(own) ? [own] : []), ...this.ledgerPeers()];
    const {initialReplicas, seeds} = settings.cluster;
    return [
      ...new Set([
        ...known.map(peerAddressOf),
        ...initialReplicas,
        ...(known.length === 0 ? seeds : []),
      ]),
    ];
  }

  /** Whether a peer has replied to a gossip request. */
  get hasGossipReply(): boolean {
    return this.receivedGossipReply;
  }

  /** Number of serving instances with the router role. */
  get routers(): number {
    return this.entries().filter(
      ({record, state}) =>
        state === 'serving' && record.roles.includes('router'),
    ).length;
  }

  /** Returns the known instances for the operator API. */
  instances(): InstanceView[] {
    return this.entries().map(instanceViewOf);
  }

  /** Returns the known backend servers for the operator API. */
  backends(): BackendView[] {
    const {clock, inFlight, isEjected} = this.options;
    return this.directory.entries(clock.now()).map(status => {
      const {name} = status.entry.announcement;
      return backendViewOf(status, {
        inFlight: inFlight(name),
        isEjected: isEjected(name),
      });
    });
  }

  /** Runs one gossip round; public for tests. */
  async runRound(): Promise<void> {
    this.renewOwnRecord();
    const {settings, fanout} = this.options;
    const peers = choosePeers(
      {
        self: this.table.ownRecord,
        selfAddress: ownPeerAddress(settings),
        instances: this.entries(),
        seeds: [...settings.cluster.seeds, ...settings.cluster.initialReplicas],
        random: Math.random,
      },
      {fanout},
    );
    await Promise.allSettled(peers.map(address => this.pullFrom(address)));
    this.gossip.removeExpired();
    this.reportFindings();
  }

  private isNewPeer({name, incarnation}: GossipRequest['from']): boolean {
    if (name === this.table.ownRecord.name) return false;
    const known = this.table.get(name);
    return known?.incarnation !== incarnation || !this.isAlive(name);
  }

  private async pullFrom(address: string): Promise<void> {
    const reply = await this.gossip.pull(address).catch((error: unknown) => {
      this.reportRejection(address, error);
      throw error;
    });
    this.receivedGossipReply = true;
    const {metrics} = this.options;
    metrics.increment('membership.records', reply.backends.length);
  }

  private renewOwnRecord(): void {
    const {clock, status} = this.options;
    const {revision, renewedMillisecondsAgo} = status();
    this.table.renewOwnRecord(
      {
        state: this.leaving ? 'leaving' : 'serving',
        roles: this.table.ownRecord.roles,
        revision,
        renewedMillisecondsAgo: Math.round(
          Math.min(renewedMillisecondsAgo, maximumAgeMilliseconds),
        ),
        wallClock: Math.round(clock.wallNow()),
      },
      clock.now(),
    );
  }

  private entries() {
    return this.table.entries(this.options.clock.now());
  }

  private ageOf(name: string): number | undefined {
    return this.entries().find(({record}) => record.name === name)
      ?.ageMilliseconds;
  }

  private initialRecord(): InstanceRecord {
    const {settings, incarnation, clock} = this.options;
    const {cluster, instance, listeners} = settings;
    return {
      name: instance.name,
      incarnation,
      sequence: 0,
      state: 'serving',
      cluster: cluster.name,
      address: instance.address,
      callerPort: listeners.callerPort,
      peerPort: listeners.advertisedPeerPort ?? listeners.peerPort,
      region: instance.region,
      failureDomain: instance.failureDomain,
      roles: instance.roles,
      revision: 0,
      renewedMillisecondsAgo: maximumAgeMilliseconds,
      wallClock: Math.round(clock.wallNow()),
    };
  }

  private reportRejection(address: string, error: unknown): void {
    if (!(error instanceof PeerRejectedError)) return;
    this.reportOnce(`${error.code} ${address}`, {address}, error.message);
  }

  /** Logs each conflict between instances once. */
  private reportFindings(): void {
    const {clock, metrics} = this.options;
    metrics.gauge('membership.instances', this.livePeers().length + 1);
    for (const finding of this.table.findings(clock.now(), clock.wallNow())) {
      const {code, instance, place, message} = finding;
      this.reportOnce(`${code} ${instance} ${place}`, {finding}, message);
    }
  }

  private reportOnce(key: string, fields: object, message: string): void {
    if (this.reportedFindings.has(key)) return;
    this.reportedFindings.add(key);
    this.options.metrics.increment('membership.findings');
    this.options.logger.error(fields, message);
  }
}

function isLedger({roles}: Pick<InstanceRecord, 'roles'>): boolean {
  return roles.includes('ledger');
}

function isOlder(announcement: Announcement, held: Announcement): boolean {
  if (announcement.incarnation !== held.incarnation) {
    return announcement.incarnation < held.incarnation;
  }
  return announcement.sequence < held.sequence;
}
