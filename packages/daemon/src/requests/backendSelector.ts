/**
 * @fileoverview Picks backend servers and keeps what the choice depends on:
 * own requests in flight, cached prefixes, failures, fresh starts, retries.
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

/** Retries in ten seconds however few requests there are. */
const minimumRetries = 10;

/** What the choice knows of a prompt. */
export interface PromptSummary {
  /** Hashes of its blocks, see `prefixBlocks`. */
  blocks: readonly string[];
  /** Estimate of its length. */
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
  /** Names of the servers that the parts above know of. */
  private readonly seen = new Set<string>();

  constructor(private readonly dependencies: RequestDependencies) {
    this.slowStart = new SlowStart(dependencies.now());
  }

  /** Takes in what the directory has learnt since the last call. */
  refresh(): void {
    const {directory, now} = this.dependencies;
    const gone = new Set(this.seen);
    for (const {entry} of directory.entries(now())) {
      const {announcement} = entry;
      gone.delete(announcement.name);
      this.seen.add(announcement.name);
      this.slowStart.observe(announcement, now());
      this.prefixes.observe(announcement);
    }
    for (const name of gone) this.forget(name);
  }

  private forget(name: string): void {
    this.seen.delete(name);
    this.load.remove(name);
    this.outliers.remove(name);
    this.prefixes.remove(name);
    this.slowStart.remove(name);
  }

  /**
   * Chooses among the servers that offer the target.
   *
   * @param prompt The prompt, where there is one.
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

  /** Whether failures keep a server from getting work. */
  isEjected(name: string): boolean {
    return this.outliers.isEjected(name, this.dependencies.now());
  }

  /** Number to add to the load that a server reports. */
  loadCorrection(entry: BackendEntry): number {
    return this.load.loadCorrection(entry);
  }

  /** Counts a new request, by which the number of retries is bounded. */
  recordRequest(): void {
    this.retries.recordRequest(this.dependencies.now());
  }

  /** Whether one more attempt stays within the retry budget. */
  mayRetry(): boolean {
    return this.retries.tryRetry(this.dependencies.now());
  }

  /** Notes the start of an attempt. */
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

  /** Notes the end of an attempt; `neutral` says nothing of the server. */
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

  /** Own requests in flight at a backend server. */
  inFlight(name: string): number {
    return this.load.inFlight(name);
  }
}
