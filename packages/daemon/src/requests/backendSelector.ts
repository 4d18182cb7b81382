/**
 * @fileoverview Chooses backend servers and keeps the state that the choice
 * depends on: local requests in flight, cached prefixes, failures, slow start
 * of new servers, and the retry budget.
 */
import {
  type BackendEntry,
  type BackendChoice,
  chooseBackend,
  LoadTracker,
  OutlierDetector,
  PrefixIndex,
  RetryBudget,
  SlowStart,
  type Target,
} from '@dogwoodtrestle/routing';
import {type RequestDependencies} from './dependencies.js';

/** Retries allowed in ten seconds regardless of the number of requests. */
const minimumRetries = 10;

/** Properties of a prompt that the choice depends on. */
export interface PromptSummary {
  /** Hashes of its blocks, see `hashPrefixBlocks`. */
  blocks: readonly string[];
  /** Estimated length, in tokens. */
  tokens: number;
}

const noPrompt: PromptSummary = {blocks: [], tokens: 0};

/** Chooses the backend server of each attempt. */
export class BackendSelector {
  private readonly load = new LoadTracker();
  private readonly retries = new RetryBudget({minimumRetries});
  private readonly outliers = new OutlierDetector();
  private readonly prefixes = new PrefixIndex();
  private readonly slowStart: SlowStart;
  /** Names of the servers that the members above have state for. */
  private readonly knownNames = new Set<string>();

  constructor(private readonly dependencies: RequestDependencies) {
    this.slowStart = new SlowStart(dependencies.now());
  }

  /** Adds servers that are new in the directory and removes missing ones. */
  refresh(): void {
    const {directory, now} = this.dependencies;
    const missing = new Set(this.knownNames);
    for (const {entry} of directory.entries(now())) {
      const {announcement} = entry;
      missing.delete(announcement.name);
      this.knownNames.add(announcement.name);
      this.slowStart.observe(announcement, now());
      this.prefixes.observe(announcement);
    }
    for (const name of missing) this.remove(name);
  }

  private remove(name: string): void {
    this.knownNames.delete(name);
    this.load.remove(name);
    this.outliers.remove(name);
    this.prefixes.remove(name);
    this.slowStart.remove(name);
  }

  /**
   * Chooses among the servers that offer the target.
   *
   * @param exclude Names of servers that must not be chosen.
   * @param prompt The prompt of a chat request; absent for service calls.
   */
  choose(
    target: Target,
    exclude: ReadonlySet<string>,
    {blocks, tokens}: PromptSummary = noPrompt,
  ): BackendChoice {
    const {directory, now, settings} = this.dependencies;
    const time = now();
    return chooseBackend({
      candidates: directory.candidates(target, time),
      now: time,
      inFlight: name => this.load.inFlight(name),
      loadCorrection: entry => this.load.loadCorrection(entry),
      failureDomain: settings.instance.failureDomain,
      promptTokens: tokens,
      prefixHitRatio: name => this.prefixes.hitRatio(name, blocks, time),
      health: name => ({
        ejected: this.outliers.isEjected(name, time),
        weight: this.slowStart.weight(name, time),
      }),
      exclude,
      random: Math.random,
    });
  }

  /** Whether outlier detection has ejected a server. */
  isEjected(name: string): boolean {
    return this.outliers.isEjected(name, this.dependencies.now());
  }

  /** Returns the number of requests to add to the load that a server reports. */
  loadCorrection(entry: BackendEntry): number {
    return this.load.loadCorrection(entry);
  }

  /** Counts a new request towards the retry budget. */
  recordRequest(): void {
    this.retries.recordRequest(this.dependencies.now());
  }

  /** Takes one retry from the retry budget; returns whether it allows one. */
  mayRetry(): boolean {
    return this.retries.tryRetry(this.dependencies.now());
  }

  /**
   * Records the start of an attempt.
   *
   * @param blocks Hashes of the prompt's blocks.
   */
  recordStart(
    backend: BackendEntry,
    attemptId: string,
    blocks: readonly string[] = [],
  ): void {
    const {name} = backend.announcement;
    const time = this.dependencies.now();
    this.load.start(name, attemptId, time);
    this.prefixes.recordSent(name, blocks, time);
  }

  /**
   * Records the end of an attempt. A `neutral` outcome is not counted by
   * outlier detection.
   */
  recordEnd(
    {announcement}: BackendEntry,
    attemptId: string,
    outcome: 'success' | 'failure' | 'neutral',
  ): void {
    const {directory, now} = this.dependencies;
    const time = now();
    this.load.end(announcement.name, attemptId, time);
    if (outcome === 'neutral') return;
    const servers = directory
      .entries(time)
      .filter(({entry}) => entry.announcement.kind === announcement.kind);
    this.outliers.record(announcement.name, outcome, servers.length, time);
  }

  /** Number of this instance's requests in flight at a backend server. */
  inFlight(name: string): number {
    return this.load.inFlight(name);
  }
}
