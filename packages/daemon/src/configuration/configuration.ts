/**
 * @fileoverview The active contracts known to this instance.
 *
 * Contracts are fetched on demand and cached. A periodic poll asks a ledger
 * instance for the changes since the active revision, so that unchanged
 * contracts are not sent again.
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

/** Dependencies and settings of the configuration. */
export interface ConfigurationOptions {
  ledgerClient: Pick<LedgerClient, 'query'>;
  /** Peer addresses of the known ledger instances, nearest first. */
  addresses: () => string[];
  /** Asks one ledger instance for changes; rejects if it can't be reached. */
  changes: (address: string, request: ChangesRequest) => Promise<ChangesReply>;
  /** Called for each changed contract. */
  onChange?: (view: ContractView) => void;
  /** Called at each poll while the last confirmation by the quorum is stale. */
  onStale?: () => void;
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
  pollMilliseconds?: number;
  /** Age of the newest confirmation above which `onStale` is called. */
  staleMilliseconds?: number;
  /** How long a key without an owner is cached as unknown. */
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

/** Active contracts, looked up by key hash and by customer. */
export class Configuration {
  private readonly options: Required<ConfigurationOptions>;
  private readonly cache = new ContractCache();
  private readonly pendingFetches = new Map<string, Promise<unknown>>();
  /** Monotonic times in milliseconds at which keys were found to be unknown. */
  private readonly unknownKeys = new Map<string, number>();
  private readonly poll: PeriodicTask;
  private activeRevision: number | undefined;
  private renewedAt = -Infinity;
  private addressIndex = 0;

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

  /** Active cluster revision of this instance; 0 before the first. */
  get revision(): number {
    return this.activeRevision ?? 0;
  }

  /** Milliseconds since the quorum last confirmed the revision. */
  get renewedMillisecondsAgo(): number {
    return this.options.clock.now() - this.renewedAt;
  }

  /** Starts polling. */
  start(): void {
    this.poll.start();
  }

  /** Stops polling. */
  async stop(): Promise<void> {
    await this.poll.stop();
  }

  /**
   * Finds the owner of a key.
   *
   * @throws QuorumUnreachableError if the key isn't cached and the quorum can't
   *     be reached.
   */
  async byKeyHash(hash: string): Promise<KeyOwner | undefined> {
    const known = this.cache.owner(hash);
    if (known !== undefined || this.isUnknown(hash)) return known;
    const {ledgerClient, clock} = this.options;
    const view = await this.joinFetch(`key ${hash}`, () =>
      ledgerClient.query('contractByKeyHash', {keyHash: hash}),
    );
    if (view !== undefined) this.cache.store(view);
    else this.rememberUnknown(hash, clock.now());
    return this.cache.owner(hash);
  }

  /** Returns the cached contract of a customer. */
  cached(customer: string): ContractView | undefined {
    return this.cache.customer(customer);
  }

  /**
   * Fetches the newest contract of a customer.
   *
   * @throws QuorumUnreachableError if the quorum can't be reached.
   */
  async refresh(customer: string): Promise<ContractView | undefined> {
    const {ledgerClient} = this.options;
    const view = await this.joinFetch(`customer ${customer}`, () =>
      ledgerClient.query('contract', {customer}),
    );
    return view === undefined ? undefined : this.cache.store(view);
  }

  /**
   * Asks a ledger instance for changes. After a failure, the next poll asks
   * another instance.
   */
  async renew(): Promise<void> {
    const {addresses, changes, clock, logger} = this.options;
    const known = addresses();
    const address = known[this.addressIndex % Math.max(1, known.length)];
    if (address === undefined) return;
    const askedAt = clock.now();
    try {
      const reply = await changes(address, {revision: this.activeRevision});
      this.applyReply(reply, askedAt);
    } catch (error) {
      this.addressIndex++;
      logger.debug({err: error, address}, 'configuration poll failed');
    }
    this.reportFreshness();
  }

  private applyReply(reply: ChangesReply, askedAt: number): void {
    const {pollMilliseconds, onChange, logger} = this.options;
    // A replica may lag behind the one that answered the previous poll.
    if (reply.revision < this.revision) {
      this.addressIndex++;
      return;
    }
    for (const view of reply.contracts) {
      this.cache.store(view);
      this.unknownKeys.clear();
      onChange(view);
    }
    if (reply.revision !== this.activeRevision) {
      logger.info({revision: reply.revision}, 'active configuration changed');
    }
    this.activeRevision = reply.revision;
    const confirmedAt = askedAt - reply.quorumAgeMilliseconds;
    this.renewedAt = Math.max(this.renewedAt, confirmedAt);
    // A replica that is partitioned from the quorum answers with old state.
    if (reply.quorumAgeMilliseconds > 4 * pollMilliseconds) this.addressIndex++;
  }

  private reportFreshness(): void {
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

  /** Lets concurrent callers with the same key share one fetch. */
  private joinFetch<T>(key: string, fetch: () => Promise<T>): Promise<T> {
    const running = this.pendingFetches.get(key) as Promise<T> | undefined;
    if (running !== undefined) return running;
    const started = fetch().finally(() => this.pendingFetches.delete(key));
    this.pendingFetches.set(key, started);
    return started;
  }
}
