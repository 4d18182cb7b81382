/**
 * @fileoverview The contracts in force, as this instance knows them.
 *
 * Contracts are fetched on demand and kept. A poll asks a ledger instance for
 * what has changed since the revision held, so that only changes travel.
 */
import {
  type ChangesReply,
  type ChangesRequest,
  type ContractView,
} from '@dogwoodtrestle/schema';

import {type LedgerClient} from '../ledgerClient/ledgerClient.js';
import {type Clock, systemClock} from '@dogwoodtrestle/runtime';
import {type Logger, silentLogger} from '@dogwoodtrestle/runtime';
import {type Metrics, silentMetrics} from '../util/metrics.js';
import {PeriodicTask} from '@dogwoodtrestle/runtime';
import {ContractCache, type KeyOwner} from './contractCache.js';

/** What the configuration needs. */
export interface ConfigurationOptions {
  ledgerClient: Pick<LedgerClient, 'query'>;
  /** Peer addresses of the known ledger instances, nearest first. */
  addresses: () => string[];
  /** Asks one ledger instance for changes; rejects if it can't be reached. */
  changes: (address: string, request: ChangesRequest) => Promise<ChangesReply>;
  /** Called with each contract that has changed. */
  onChange?: (view: ContractView) => void;
  /** Called at each poll while the quorum hasn't been heard of for a while. */
  onStale?: () => void;
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
  pollMilliseconds?: number;
  /** Age of the newest confirmation at which `onStale` is called. */
  staleMilliseconds?: number;
  /** How long a key that nobody owns is remembered as unknown. */
  unknownKeyMilliseconds?: number;
}

const defaultOptions = {
  onChange: () => {},
  onStale: () => {},
  clock: systemClock,
  logger: silentLogger,
  metrics: silentMetrics,
  pollMilliseconds: 1000,
  staleMilliseconds: 2000,
  unknownKeyMilliseconds: 2000,
};

const maximumUnknownKeys = 10_000;
const pollJitter = 0.1;

/** Contracts by key hash and by customer. */
export class Configuration {
  private readonly options: Required<ConfigurationOptions>;
  private readonly cache = new ContractCache();
  private readonly fetching = new Map<string, Promise<unknown>>();
  /** When each key was last found to be unknown, in monotonic milliseconds. */
  private readonly unknownKeys = new Map<string, number>();
  private readonly poll: PeriodicTask;
  private heldRevision: number | undefined;
  private renewedAt = -Infinity;
  private preferred = 0;

  constructor(options: ConfigurationOptions) {
    this.options = {...defaultOptions, ...options};
    const {clock, logger, pollMilliseconds} = this.options;
    this.poll = new PeriodicTask({
      name: 'configuration poll',
      clock,
      logger,
      intervalMilliseconds: pollMilliseconds,
      jitter: pollJitter,
      run: () => this.renew(),
    });
  }

  /** Cluster revision that this instance has in force; 0 before the first. */
  get revision(): number {
    return this.heldRevision ?? 0;
  }

  /** Time since the quorum last confirmed the revision. */
  get renewedMillisecondsAgo(): number {
    return this.options.clock.now() - this.renewedAt;
  }

  /** Starts to poll. */
  start(): void {
    this.poll.start();
  }

  async stop(): Promise<void> {
    await this.poll.stop();
  }

  /**
   * Finds the owner of a key.
   *
   * @throws QuorumUnreachableError if the key isn't cached and the quorum is
   *     out of reach.
   */
  async byKeyHash(hash: string): Promise<KeyOwner | undefined> {
    const known = this.cache.owner(hash);
    if (known !== undefined || this.isUnknown(hash)) return known;
    const {ledgerClient, clock} = this.options;
    const view = await this.share(`key ${hash}`, () =>
      ledgerClient.query('contractByKeyHash', {keyHash: hash}),
    );
    if (view !== undefined) this.cache.store(view);
    else this.rememberUnknown(hash, clock.now());
    return this.cache.owner(hash);
  }

  /** The cached contract of a customer. */
  cached(customer: string): ContractView | undefined {
    return this.cache.customer(customer);
  }

  /** Fetches the newest contract of a customer. */
  async refresh(customer: string): Promise<ContractView | undefined> {
    const {ledgerClient} = this.options;
    const view = await this.share(`customer ${customer}`, () =>
      ledgerClient.query('contract', {customer}),
    );
    return view === undefined ? undefined : this.cache.store(view);
  }

  /** Asks a ledger instance for changes. */
  async renew(): Promise<void> {
    const {addresses, changes, clock, logger} = this.options;
    const known = addresses();
    const address = known[this.preferred % Math.max(1, known.length)];
    if (address === undefined) return;
    const askedAt = clock.now();
    try {
      const reply = await changes(address, {revision: this.heldRevision});
      this.takeIn(reply, askedAt);
    } catch (error) {
      this.preferred++;
      logger.debug({err: error, address}, 'configuration poll failed');
    }
    this.report();
  }

  private takeIn(reply: ChangesReply, askedAt: number): void {
    const {pollMilliseconds, onChange, logger} = this.options;
    // A replica may lag behind the one that answered before.
    if (reply.revision < this.revision) {
      this.preferred++;
      return;
    }
    for (const view of reply.contracts) {
      this.cache.store(view);
      this.unknownKeys.clear();
      onChange(view);
    }
    if (reply.revision !== this.heldRevision) {
      logger.info({revision: reply.revision}, 'configuration in force');
    }
    this.heldRevision = reply.revision;
    const confirmedAt = askedAt - reply.quorumAgeMilliseconds;
    this.renewedAt = Math.max(this.renewedAt, confirmedAt);
    // One that is cut off answers, but knows nothing new.
    if (reply.quorumAgeMilliseconds > 4 * pollMilliseconds) this.preferred++;
  }

  private report(): void {
    const {metrics, onStale, staleMilliseconds} = this.options;
    metrics.gauge('configuration.revision', this.revision);
    const age = Math.round(this.renewedMillisecondsAgo);
    if (age > staleMilliseconds) onStale();
    if (Number.isFinite(age)) metrics.gauge('configuration.age', age);
  }

  private isUnknown(hash: string): boolean {
    const {clock, unknownKeyMilliseconds} = this.options;
    const at = this.unknownKeys.get(hash) ?? -Infinity;
    return clock.now() - at < unknownKeyMilliseconds;
  }

  private rememberUnknown(hash: string, now: number): void {
    if (this.unknownKeys.size >= maximumUnknownKeys) this.unknownKeys.clear();
    this.unknownKeys.set(hash, now);
  }

  /** Joins callers that fetch the same thing at the same time. */
  private share<T>(key: string, fetch: () => Promise<T>): Promise<T> {
    const running = this.fetching.get(key) as Promise<T> | undefined;
    if (running !== undefined) return running;
    const started = fetch().finally(() => this.fetching.delete(key));
    this.fetching.set(key, started);
    return started;
  }
}
