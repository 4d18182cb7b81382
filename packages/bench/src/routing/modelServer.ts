/**
 * @fileoverview Virtual-time model of an inference engine: continuous batching
 * with steps that take longer the more requests share them, chunked prefill in
 * the same steps, and a prefix cache.
 */
import {type Announcement} from '@dogwoodtrestle/schema';
import {type Priority, priorityRank} from '@dogwoodtrestle/routing';

import {PrefixCache} from './prefixCache.js';
import {type VirtualTime} from './virtualTime.js';

/** Tokens in one block of the prefix cache. */
export const blockTokens = 64;

/** Size and speed of an engine; durations in milliseconds. */
export interface EngineOptions {
  /** Maximum number of requests in one batch. */
  capacity: number;
  /** Maximum queue length; further requests fail. */
  maximumQueued: number;
  cacheBlocks: number;
  /** Duration of an empty step. */
  stepMilliseconds: number;
  /** Added to a step by each request decoded in it. */
  decodeMillisecondsPerSequence: number;
  /** Added to a step by each prompt token computed in it. */
  prefillMillisecondsPerToken: number;
  /** Maximum number of prompt tokens computed in one step. */
  prefillChunkTokens: number;
}

/** Defaults of {@link EngineOptions}. */
export const defaultEngineOptions: EngineOptions = {
  capacity: 16,
  maximumQueued: 64,
  cacheBlocks: 2_000,
  stepMilliseconds: 10,
  decodeMillisecondsPerSequence: 0.5,
  prefillMillisecondsPerToken: 0.125,
  prefillChunkTokens: 512,
};

/** A request as sent to an engine, with its callbacks. */
export interface EngineJob {
  blocks: readonly string[];
  promptTokens: number;
  outputTokens: number;
  priority: Priority;
  onToken: (isLast: boolean) => void;
  onFailure: () => void;
  /** Called once, when the job enters a batch. */
  onCacheHits: (tokens: number) => void;
}

interface RunningJob {
  job: EngineJob;
  prefillLeft: number;
  outputLeft: number;
}

/** Fault modes of an engine. */
export type EngineFault = 'none' | 'down' | 'failsFast' | 'slow';

const failFastMilliseconds = 3;
const failFastProbability = 0.9;
const slowFaultFactor = 8;

/** A modelled inference server. */
export class ModelServer {
  private readonly options: EngineOptions;
  private readonly cache: PrefixCache;
  private running: RunningJob[] = [];
  private queue: EngineJob[] = [];
  private isStepping = false;
  private fault: EngineFault = 'none';
  private incarnation = 1;
  private sequence = 0;
  private cacheSequence = 0;
  /** Load at the last announcement; the next one reports it. */
  private previousLoad = {running: 0, queued: 0};
  /** Factor on the duration of steps until the engine is warm. */
  slowdown = 1;

  constructor(
    readonly name: string,
    readonly failureDomain: string,
    private readonly time: VirtualTime,
    private readonly random: () => number,
    options: Partial<EngineOptions> = {},
  ) {
    this.options = {...defaultEngineOptions, ...options};
    this.cache = new PrefixCache(this.options.cacheBlocks);
  }

  get capacity(): number {
    return this.options.capacity;
  }

  get prefillTokensPerSecond(): number {
    return 1_000 / this.options.prefillMillisecondsPerToken;
  }

  get isDown(): boolean {
    return this.fault === 'down';
  }

  setFault(fault: EngineFault): void {
    if (fault === 'down') this.crash();
    if (this.fault === 'down' && fault !== 'down') this.incarnation += 1;
    this.fault = fault;
  }

  submit(job: EngineJob): void {
    const failsFast =
      this.fault === 'failsFast' && this.random() < failFastProbability;
    const isFull = this.queue.length >= this.options.maximumQueued;
    if (this.isDown || failsFast || isFull) {
      this.time.after(failFastMilliseconds, job.onFailure);
      return;
    }
    this.enqueue(job);
    this.startStepping();
  }

  /** Returns the prefix of the blocks that is cached. */
  cachedBlocks(blocks: readonly string[]): readonly string[] {
    return blocks.slice(0, this.cache.countCachedPrefix(blocks));
  }

  /** Stores KV cache blocks imported from another server. */
  importBlocks(blocks: readonly string[]): void {
    this.cache.store(blocks);
  }

  cancel(job: EngineJob): void {
    this.queue = this.queue.filter(each => each !== job);
    this.running = this.running.filter(each => each.job !== job);
  }

  /** Creates an announcement; its load is that of the previous announcement. */
  announce(fullCache: boolean): Announcement {
    this.sequence += 1;
    this.cacheSequence += 1;
    const load = {...this.previousLoad, capacity: this.capacity};
    this.previousLoad = {
      running: this.running.length,
      queued: this.queue.length,
    };
    return {
      name: this.name,
      incarnation: this.incarnation,
      sequence: this.sequence,
      state: 'serving',
      url: `http://${this.name}`,
      region: 'default',
      failureDomain: this.failureDomain,
      kind: 'model',
      load: {...load, tokensPerSecond: 0},
      models: [{name: 'm', adapters: []}],
      features: {
        fencing: 'checked',
        priorities: true,
        resume: true,
        cancel: true,
        attemptReport: true,
        kvTransfer: false,
      },
      cache: {
        sequence: this.cacheSequence,
        full: fullCache,
        ...this.cache.takeChanges(fullCache),
      },
    };
  }

  private crash(): void {
    const lost = [...this.running.map(({job}) => job), ...this.queue];
    this.running = [];
    this.queue = [];
    this.cache.clear();
    for (const job of lost) {
      this.time.after(failFastMilliseconds, job.onFailure);
    }
  }

  private enqueue(job: EngineJob): void {
    const rank = priorityRank(job.priority);
    let position = this.queue.length;
    while (
      position > 0 &&
      priorityRank(this.queue[position - 1]!.priority) > rank
    ) {
      position -= 1;
    }
    this.queue.splice(position, 0, job);
  }

  private startStepping(): void {
    if (this.isStepping) return;
    this.isStepping = true;
    this.step();
  }

  private step(): void {
    this.fillBatch();
    if (this.running.length === 0) {
      this.isStepping = false;
      return;
    }
    const decoding = this.running.filter(({prefillLeft}) => prefillLeft === 0);
    const prefilled = this.prefill();
    const {
      stepMilliseconds,
      decodeMillisecondsPerSequence,
      prefillMillisecondsPerToken,
    } = this.options;
    const duration =
      stepMilliseconds +
      decodeMillisecondsPerSequence * decoding.length +
      prefillMillisecondsPerToken * prefilled;
    const factor = this.fault === 'slow' ? slowFaultFactor : this.slowdown;
    this.time.after(duration * factor, () => {
      for (const each of decoding) this.decode(each);
      this.step();
    });
  }

  private fillBatch(): void {
    while (this.running.length < this.options.capacity) {
      const job = this.queue.shift();
      if (!job) return;
      const hits = this.cache.countCachedPrefix(job.blocks) * blockTokens;
      job.onCacheHits(hits);
      // The last prompt token is always computed: it yields the first output.
      const prefillLeft = Math.max(1, job.promptTokens - hits);
      this.running.push({job, prefillLeft, outputLeft: job.outputTokens});
    }
  }

  /** Computes prompt tokens by priority; returns how many. */
  private prefill(): number {
    let left = this.options.prefillChunkTokens;
    const waiting = this.running
      .filter(({prefillLeft}) => prefillLeft > 0)
      .sort(
        (a, b) => priorityRank(a.job.priority) - priorityRank(b.job.priority),
      );
    for (const each of waiting) {
      const tokens = Math.min(left, each.prefillLeft);
      each.prefillLeft -= tokens;
      left -= tokens;
      if (each.prefillLeft === 0) this.cache.store(each.job.blocks);
      if (left === 0) break;
    }
    return this.options.prefillChunkTokens - left;
  }

  private decode(running: RunningJob): void {
    if (!this.running.includes(running)) return;
    running.outputLeft -= 1;
    const isLast = running.outputLeft === 0;
    if (isLast) this.running = this.running.filter(each => each !== running);
    running.job.onToken(isLast);
  }
}
