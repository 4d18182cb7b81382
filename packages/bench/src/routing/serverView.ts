/**
 * @fileoverview What one modelled router knows of the servers, and its choice
 * among them by the policy or by a baseline.
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
import {type ChoiceName, type Policy} from './policy.js';
import {type VirtualTime} from './virtualTime.js';
import {type GeneratedRequest} from './workload.js';

export interface ServerViewOptions {
  failureDomain: string;
  routerCount: number;
  policy: Policy;
  time: VirtualTime;
  random: () => number;
  servers: ReadonlyMap<string, ModelServer>;
}

/** A request with the servers that it has been sent to. */
export interface Routed {
  request: GeneratedRequest;
  tried: ReadonlySet<string>;
}

export interface ServerChoice {
  server: ModelServer;
  /** Expected load as a share of the capacity. */
  utilisation: number;
}

export interface KvTransfer {
  source: ModelServer;
  milliseconds: number;
}

const target = {kind: 'model', name: 'm'} as const;

export class ServerView {
  private readonly directory = new BackendDirectory();
  private readonly tracker = new LoadTracker();
  private readonly prefixes = new PrefixIndex();
  private readonly outliers = new OutlierDetector();
  private readonly slowStart: SlowStart;
  private readonly choices: Record<
    ChoiceName,
    (routed: Routed, candidates: BackendEntry[]) => BackendEntry | undefined
  > = {
    policy: (routed, candidates) => this.byPolicy(routed, candidates),
    randomOfTwo: (routed, candidates) =>
      this.randomOfTwo(untried(routed, candidates)),
    leastInFlight: (routed, candidates) =>
      this.leastInFlight(untried(routed, candidates)),
  };

  constructor(private readonly options: ServerViewOptions) {
    this.slowStart = new SlowStart(options.time.now);
  }

  /** Takes in an announcement; false if it is old news. */
  observe(announcement: Announcement, ageMilliseconds: number): boolean {
    const {now} = this.options.time;
    const observedAt = now - ageMilliseconds;
    const observation = this.directory.observe(announcement, observedAt);
    if (observation === 'ignored') return false;
    this.slowStart.observe(announcement, now);
    this.prefixes.observe(announcement);
    return true;
  }

  choose(routed: Routed): ServerChoice | undefined {
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

  /** Places of this router, of which it has some in use. */
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

  /** Import of the prompt's KV cache to a server, if it beats recomputing. */
  planTransfer(
    server: ModelServer,
    request: GeneratedRequest,
  ): KvTransfer | undefined {
    const {policy, servers} = this.options;
    if (!policy.kvTransfer) return undefined;
    let source = server;
    for (const each of servers.values()) {
      const isBetter =
        this.hits(each.name, request) > this.hits(source.name, request);
      if (!each.isDown && isBetter) source = each;
    }
    const {transfer, importMilliseconds} = decideKvTransfer(
      {
        promptTokens: request.promptTokens,
        destinationHitRatio: this.hits(server.name, request),
        sourceHitRatio: this.hits(source.name, request),
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

  private hits(name: string, {blocks}: GeneratedRequest): number {
    return this.prefixes.hitRatio(name, blocks, this.options.time.now);
  }

  private byPolicy(
    {request, tried}: Routed,
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
      prefixHitRatio: name => this.hits(name, request),
      health: name => ({
        ejected: this.outliers.isEjected(name, now),
        weight: policy.slowStart ? this.slowStart.weight(name, now) : 1,
      }),
      exclude: tried,
      random,
      options: policy.choiceOptions,
    }).backend;
  }

  private randomOfTwo(candidates: BackendEntry[]): BackendEntry | undefined {
    const {random} = this.options;
    const draw = () => candidates[Math.floor(random() * candidates.length)];
    const [first, second] = [draw(), draw()];
    if (!first || !second) return first;
    return loadOf(first) <= loadOf(second) ? first : second;
  }

  private leastInFlight(candidates: BackendEntry[]): BackendEntry | undefined {
    const inFlight = ({announcement}: BackendEntry) =>
      this.tracker.inFlight(announcement.name);
    const least = Math.min(...candidates.map(inFlight));
    const best = candidates.filter(entry => inFlight(entry) === least);
    return best[Math.floor(this.options.random() * best.length)];
  }
}

function untried({tried}: Routed, candidates: BackendEntry[]): BackendEntry[] {
  return candidates.filter(({announcement}) => !tried.has(announcement.name));
}

function loadOf({announcement: {load}}: BackendEntry): number {
  return load.running + load.queued;
}
