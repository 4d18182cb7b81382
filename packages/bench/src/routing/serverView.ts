/**
 * @fileoverview A modelled router's view of the servers, and its choice among
 * them by the policy or a baseline.
 */
import {type Announcement} from '@dogwoodtrestle/schema';
import {
  admissionCapacity,
  type BackendEntry,
  chooseBackend,
  decideKvTransfer,
  BackendDirectory,
  LoadTracker,
  OutlierDetector,
  PrefixIndex,
  SlowStart,
} from '@dogwoodtrestle/routing';

import {type ModelServer} from './modelServer.js';
import {type ChoiceName, type RouterPolicy} from './policy.js';
import {type VirtualTime} from './virtualTime.js';
import {type GeneratedRequest} from './workload.js';

/** Options of a server view. */
export interface ServerViewOptions {
  failureDomain: string;
  routerCount: number;
  policy: RouterPolicy;
  time: VirtualTime;
  random: () => number;
  servers: ReadonlyMap<string, ModelServer>;
}

/** A request and the servers it was already sent to. */
export interface RoutedRequest {
  request: GeneratedRequest;
  tried: ReadonlySet<string>;
}

/** A chosen server. */
export interface ServerChoice {
  server: ModelServer;
  /** Expected load as a share of the capacity. */
  utilisation: number;
}

/** A KV cache import: its source and duration. */
export interface KvTransfer {
  source: ModelServer;
  milliseconds: number;
}

const target = {kind: 'model', name: 'm'} as const;

/** Tracks the servers and chooses among them. */
export class ServerView {
  private readonly directory = new BackendDirectory();
  private readonly tracker = new LoadTracker();
  private readonly prefixes = new PrefixIndex();
  private readonly outliers = new OutlierDetector();
  private readonly slowStart: SlowStart;
  private readonly choices: Record<
    ChoiceName,
    (
      routed: RoutedRequest,
      candidates: BackendEntry[],
    ) => BackendEntry | undefined
  > = {
    policy: (routed, candidates) => this.chooseByPolicy(routed, candidates),
    randomOfTwo: (routed, candidates) =>
      this.chooseRandomOfTwo(untried(routed, candidates)),
    leastInFlight: (routed, candidates) =>
      this.chooseLeastInFlight(untried(routed, candidates)),
  };

  constructor(private readonly options: ServerViewOptions) {
    this.slowStart = new SlowStart(options.time.now);
  }

  /** Records an announcement; returns false if it is outdated. */
  observe(announcement: Announcement, ageMilliseconds: number): boolean {
    const {now} = this.options.time;
    const observedAt = now - ageMilliseconds;
    const observation = this.directory.observe(announcement, observedAt);
    if (observation === 'ignored') return false;
    this.slowStart.observe(announcement, now);
    this.prefixes.observe(announcement);
    return true;
  }

  choose(routed: RoutedRequest): ServerChoice | undefined {
    const choice = this.choices[this.options.policy.choice];
    const entry = choice(routed, this.candidates());
    const server = entry && this.options.servers.get(entry.announcement.name);
    if (!entry || !server) return undefined;
    const load = Math.max(
      0,
      loadOf(entry) + this.tracker.loadCorrection(entry),
    );
    return {server, utilisation: load / entry.announcement.load.capacity};
  }

  start(server: string, attempt: string, {blocks}: GeneratedRequest): void {
    const {now} = this.options.time;
    this.tracker.start(server, attempt, now);
    this.prefixes.recordSent(server, blocks, now);
  }

  end(server: string, attempt: string): void {
    this.tracker.end(server, attempt, this.options.time.now);
  }

  record(server: string, outcome: 'success' | 'failure'): void {
    const {policy, servers, time} = this.options;
    if (!policy.outlierDetection) return;
    this.outliers.record(server, outcome, servers.size, time.now);
  }

  /** Admission slots of this router, given how many are in use. */
  capacity(running: number): number {
    const {routerCount, policy} = this.options;
    return admissionCapacity(
      {
        candidates: this.candidates(),
        loadCorrection: entry => this.tracker.loadCorrection(entry),
        running,
        routerCount,
      },
      {headroom: policy.admissionHeadroom},
    );
  }

  /** Plans an import of the prompt's KV cache if that beats recomputing it. */
  planTransfer(
    server: ModelServer,
    request: GeneratedRequest,
  ): KvTransfer | undefined {
    const {policy, servers} = this.options;
    if (!policy.kvTransfer) return undefined;
    let source = server;
    for (const each of servers.values()) {
      const isBetter =
        this.hitRatio(each.name, request) > this.hitRatio(source.name, request);
      if (!each.isDown && isBetter) source = each;
    }
    const {transfer, importMilliseconds} = decideKvTransfer(
      {
        promptTokens: request.promptTokens,
        destinationHitRatio: this.hitRatio(server.name, request),
        sourceHitRatio: this.hitRatio(source.name, request),
        supported: true,
        prefillTokensPerSecond: server.prefillTokensPerSecond,
      },
      policy.kvTransfer,
    );
    return transfer ? {source, milliseconds: importMilliseconds} : undefined;
  }

  private candidates(): BackendEntry[] {
    return this.directory.candidates(target, this.options.time.now);
  }

  private hitRatio(name: string, {blocks}: GeneratedRequest): number {
    return this.prefixes.hitRatio(name, blocks, this.options.time.now);
  }

  private chooseByPolicy(
    {request, tried}: RoutedRequest,
    candidates: BackendEntry[],
  ): BackendEntry | undefined {
    const {policy, time, random, failureDomain} = this.options;
    const {now} = time;
    return chooseBackend({
      candidates,
      now,
      inFlight: name => this.tracker.inFlight(name),
      loadCorrection: entry => this.tracker.loadCorrection(entry),
      failureDomain,
      promptTokens: request.promptTokens,
      prefixHitRatio: name => this.hitRatio(name, request),
      health: name => ({
        ejected: this.outliers.isEjected(name, now),
        weight: policy.slowStart ? this.slowStart.weight(name, now) : 1,
      }),
      exclude: tried,
      random,
      options: policy.choiceOptions,
    }).backend;
  }

  private chooseRandomOfTwo(
    candidates: BackendEntry[],
  ): BackendEntry | undefined {
    const {random} = this.options;
    const pickRandom = () =>
      candidates[Math.floor(random() * candidates.length)];
    const [first, second] = [pickRandom(), pickRandom()];
    if (!first || !second) return first;
    return loadOf(first) <= loadOf(second) ? first : second;
  }

  private chooseLeastInFlight(
    candidates: BackendEntry[],
  ): BackendEntry | undefined {
    const inFlight = ({announcement}: BackendEntry) =>
      this.tracker.inFlight(announcement.name);
    const least = Math.min(...candidates.map(inFlight));
    const best = candidates.filter(entry => inFlight(entry) === least);
    return best[Math.floor(this.options.random() * best.length)];
  }
}

function untried(
  {tried}: RoutedRequest,
  candidates: BackendEntry[],
): BackendEntry[] {
  return candidates.filter(({announcement}) => !tried.has(announcement.name));
}

function loadOf({announcement: {load}}: BackendEntry): number {
  return load.running + load.queued;
}
