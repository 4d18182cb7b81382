/**
 * @fileoverview Spreads what is known of instances and backend servers.
 *
 * Each round asks a few peers for records newer than those held here. Records
 * travel with their ages, which are counted from before the question was
 * sent, so that an age is never underestimated.
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

/** The parts of the own record that change. */
export interface InstanceStatus {
  revision: number;
  renewedMillisecondsAgo: number;
}

/** What membership needs. */
export interface MembershipOptions {
  settings: Settings;
  /** Start time of this process in milliseconds since the epoch. */
  incarnation: number;
  /** Asks a peer for newer records; rejects if it can't be reached. */
  exchange: (address: string, request: GossipRequest) => Promise<GossipReply>;
  /** Tells a peer that this instance leaves. */
  sendFarewell: (address: string, request: FarewellRequest) => Promise<void>;
  /** Read once per round. */
  status: () => InstanceStatus;
  /** Requests that this instance has running at a backend server. */
  inFlight?: (backend: string) => number;
  /** Whether this instance sends no requests to a backend server for now. */
  isEjected?: (backend: string) => boolean;
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
  roundMilliseconds?: number;
  /** Peers asked per round. */
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
const longestAgeMilliseconds = 1_000_000_000; // JSON has no infinity

/** Peer address (host:port) by which other instances reach this one. */
export function ownPeerAddress({instance, listeners}: Settings): string {
  const {address} = instance;
  const port = listeners.advertisedPeerPort ?? listeners.peerPort;
  return peerAddressOf({address, peerPort: port});
}

/** Instances and backend servers known here. */
export class Membership {
  readonly directory: BackendDirectory;
  private readonly options: Required<MembershipOptions>;
  private readonly table: InstanceTable;
  private readonly gossip: GossipExchange;
  private readonly rounds: PeriodicTask;
  private readonly reported = new Set<string>();
  private leaving = false;
  private heard = false;

  constructor(options: MembershipOptions) {
    this.options = {...defaultOptions, ...options};
    const {settings, clock, logger, roundMilliseconds} = this.options;
    const {silentAfterMilliseconds} = settings.backends;
    this.directory = new BackendDirectory({silentAfterMilliseconds});
    this.table = new InstanceTable(this.firstRecord(), clock.now());
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
      run: () => this.round(),
    });
  }

  start(): void {
    this.rounds.start();
  }

  async stop(): Promise<void> {
    await this.rounds.stop();
  }

  /** Tells the others that this instance takes no more work. */
  async leave(): Promise<void> {
    this.leaving = true;
    this.beat();
    const request = {record: this.table.ownRecord};
    const {sendFarewell} = this.options;
    await Promise.allSettled(
      this.livePeers().map(record =>
        sendFarewell(peerAddressOf(record), request),
      ),
    );
  }

  /** Answers a peer's question. */
  answerGossip(request: GossipRequest): GossipReply {
    // Nobody would ever ask a newcomer that no settings name.
    if (this.isNews(request.from)) {
      this.ask(request.from.address).catch(() => undefined);
    }
    return this.gossip.answer(request);
  }

  /** Takes in that another instance leaves. */
  receiveFarewell({record}: FarewellRequest): void {
    // A message that was held up must not make the record seem fresh.
    const ageMilliseconds = this.ageOf(record.name) ?? longestAgeMilliseconds;
    this.table.merge([{record, ageMilliseconds}], this.options.clock.now());
  }

  /** Takes in an announcement that a backend server made to this instance. */
  announce(announcement: Announcement): 'accepted' | 'stale' {
    const held = this.directory.get(announcement.name)?.announcement;
    if (held !== undefined && isOlder(announcement, held)) return 'stale';
    this.gossip.observe(announcement);
    return 'accepted';
  }

  /** Newest record of an instance, whatever its state. */
  instance(name: string): InstanceRecord | undefined {
    return this.table.get(name);
  }

  /** Whether an instance was heard of lately, from anybody. */
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

  /** Whether the very process of a holder is heard of. */
  isHolderAlive(holder: string): boolean {
    return this.holderAddress(holder) !== undefined;
  }

  /** Peer address of a holder's process, if it is heard of. */
  holderAddress(holder: string): string | undefined {
    const [name = ''] = holder.split('#');
    const record = this.table.get(name);
    if (record === undefined || !this.isAlive(name)) return undefined;
    const isSame = holder === `${name}#${record.incarnation}`;
    return isSame ? peerAddressOf(record) : undefined;
  }

  /** Newest peer address of an instance, whatever its state. */
  addressOf(name: string): string | undefined {
    const record = this.table.get(name);
    return record && peerAddressOf(record);
  }

  /** Instances that are heard of, without this one. */
  livePeers(): InstanceRecord[] {
    const self = this.table.ownRecord.name;
    return this.entries()
      .filter(({record, state}) => state !== 'silent' && record.name !== self)
      .map(({record}) => record);
  }

  /** Other ledger instances that are heard of, the nearest first. */
  ledgerPeers(): InstanceRecord[] {
    const {failureDomain} = this.table.ownRecord;
    const peers = this.livePeers().filter(isLedger);
    const near = peers.filter(peer => peer.failureDomain === failureDomain);
    const far = peers.filter(peer => peer.failureDomain !== failureDomain);
    return [...near, ...far];
  }

  /** Peer addresses of ledger instances: this one, then the nearest first. */
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

  /** Whether a peer has told this instance what it knows. */
  get hasGossipReply(): boolean {
    return this.heard;
  }

  /** Number of instances that serve callers. */
  get routers(): number {
    return this.entries().filter(
      ({record, state}) =>
        state === 'serving' && record.roles.includes('router'),
    ).length;
  }

  /** Instances as operators see them. */
  instances(): InstanceView[] {
    return this.entries().map(instanceViewOf);
  }

  /** Backend servers as operators see them. */
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

  /** One round of questions; public for tests. */
  async round(): Promise<void> {
    this.beat();
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
    await Promise.allSettled(peers.map(address => this.ask(address)));
    this.gossip.forget();
    this.report();
  }

  private isNews({name, incarnation}: GossipRequest['from']): boolean {
    if (name === this.table.ownRecord.name) return false;
    const known = this.table.get(name);
    return known?.incarnation !== incarnation || !this.isAlive(name);
  }

  private async ask(address: string): Promise<void> {
    const reply = await this.gossip.ask(address).catch((error: unknown) => {
      this.reportRefusal(address, error);
      throw error;
    });
    this.heard = true;
    const {metrics} = this.options;
    metrics.increment('membership.records', reply.backends.length);
  }

  private beat(): void {
    const {clock, status} = this.options;
    const {revision, renewedMillisecondsAgo} = status();
    this.table.renewOwnRecord(
      {
        state: this.leaving ? 'leaving' : 'serving',
        roles: this.table.ownRecord.roles,
        revision,
        renewedMillisecondsAgo: Math.round(
          Math.min(renewedMillisecondsAgo, longestAgeMilliseconds),
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

  private firstRecord(): InstanceRecord {
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
      renewedMillisecondsAgo: longestAgeMilliseconds,
      wallClock: Math.round(clock.wallNow()),
    };
  }

  private reportRefusal(address: string, error: unknown): void {
    if (!(error instanceof PeerRejectedError)) return;
    this.reportOnce(`${error.code} ${address}`, {address}, error.message);
  }

  /** Logs each contradiction between instances once. */
  private report(): void {
    const {clock, metrics} = this.options;
    metrics.gauge('membership.instances', this.livePeers().length + 1);
    for (const finding of this.table.findings(clock.now(), clock.wallNow())) {
      const {code, instance, place, message} = finding;
      this.reportOnce(`${code} ${instance} ${place}`, {finding}, message);
    }
  }

  private reportOnce(key: string, fields: object, message: string): void {
    if (this.reported.has(key)) return;
    this.reported.add(key);
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
