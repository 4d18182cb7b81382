/**
 * @fileoverview Picks backend servers and keeps what the choice depends on:
 * own requests in flight, cached prefixes, failures, fresh starts, retries.
 */
import {
  type BackendEntry,
  type Choice,
  chooseBackend,
  LoadTracker,
  OutlierDetector,
  PrefixIndex,
  RetryBudget,
  SlowStart,
  type Target,
} from '@dogwoodtrestle/routing';
import {type Announcement} from '@dogwoodtrestle/schema';

import {type RequestDependencies} from './dependencies.js';

/** Chooses the backend server of each attempt. */
export class BackendSelector {
  private readonly load = new LoadTracker();
  private readonly retries = new RetryBudget();
  private readonly outliers = new OutlierDetector();
  private readonly prefixes = new PrefixIndex();
  private readonly slowStart: SlowStart;

  constructor(private readonly dependencies: RequestDependencies) {
    this.slowStart = new SlowStart(dependencies.now());
  }

  /** Takes in what a backend server says of itself. */
  observe(announcement: Announcement): void {
    this.slowStart.observe(announcement, this.dependencies.now());
    this.prefixes.observe(announcement);
  }

  /** Drops what is known of a backend server that is gone. */
  forget(name: string): void {
    this.load.forget(name);
    this.outliers.forget(name);
    this.prefixes.forget(name);
    this.slowStart.forget(name);
  }

  /**
   * Chooses among the servers that offer the target.
   *
   * @param blocks Hashes of the prompt's blocks, see `prefixBlocks`.
   */
  choose(
    target: Target,
    exclude: ReadonlySet<string>,
    blocks: readonly string[] = [],
  ): Choice {
    const {directory, now, settings} = this.dependencies;
    const time = now();
    return chooseBackend({
      candidates: directory.candidates(target, time),
      now: time,
      inFlight: name => this.load.inFlight(name),
      correction: entry => this.load.correction(entry),
      failureDomain: settings.instance.failureDomain,
      prefixHits: name => this.prefixes.hits(name, blocks, time),
      health: name => ({
        ejected: this.outliers.ejected(name, time),
        weight: this.slowStart.weight(name, time),
      }),
      exclude,
      random: Math.random,
    });
  }

  /** Whether failures keep a server from getting work. */
  isEjected(name: string): boolean {
    return this.outliers.ejected(name, this.dependencies.now());
  }

  /** Requests that the target's servers can take beyond those they have. */
  spareCapacity(target: Target): {total: number; spare: number} {
    const {directory, now} = this.dependencies;
    let total = 0;
    let used = 0;
    for (const entry of directory.candidates(target, now())) {
      const {load, name} = entry.announcement;
      const reported = load.running + load.queued + this.load.correction(entry);
      total += load.capacity;
      used += Math.max(reported, this.load.inFlight(name));
    }
    return {total, spare: total - used};
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
  start(
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
  end(
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
