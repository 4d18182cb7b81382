/**
 * @fileoverview What bars a backend server from work of this router, and until
 * when: what the server said in its answers, or a connection that failed.
 *
 * A bar that runs out lets one request through first; the others follow once
 * it has been taken. So a server is not flooded by all that waited for it.
 */

/** Why a server gets no work. */
export type BlockReason =
  /** It said that it leaves. */
  | 'leaving'
  /** It said for how long it wants nothing. */
  | 'busy'
  /** It refused work and gave no time. */
  | 'shedding'
  /** No connection could be made. */
  | 'unreachable';

/** What a router learns of a server from one request. */
export type ServerSignal =
  | {kind: 'leaving'}
  | {kind: 'refused'; retryAfterSeconds?: number}
  | {kind: 'unreachable'}
  | {kind: 'answered'}
  /** The request ended without a word of the server. */
  | {kind: 'ended'};

export interface CircuitBreakerOptions {
  /** Bar after a refusal without a time; doubled by each further one. */
  sheddingMilliseconds: number;
  maxSheddingMilliseconds: number;
  unreachableMilliseconds: number;
  /** Longest time that a server is believed to want nothing. */
  maxBusyMilliseconds: number;
  /** Time after which the request that is let through counts as taken. */
  probeMilliseconds: number;
}

export const defaultCircuitBreakerOptions: CircuitBreakerOptions = {
  // A slot of an engine with 12 slots and streams of half a second comes free
  // every 40 ms, and many routers ask for it.
  sheddingMilliseconds: 100,
  maxSheddingMilliseconds: 800,
  unreachableMilliseconds: 1_000,
  maxBusyMilliseconds: 60_000,
  // Servers refuse work as it arrives, within a few milliseconds.
  probeMilliseconds: 250,
};

type NewsHandlers = {
  [K in ServerSignal['kind']]: (
    news: Extract<ServerSignal, {kind: K}>,
    now: number,
  ) => void;
};

/** The bar of one incarnation of a server. Times are in milliseconds. */
export class CircuitBreaker {
  private readonly options: CircuitBreakerOptions;
  private barredFor?: BlockReason;
  private until = -Infinity;
  /** Refusals without a time in a row. */
  private sheds = 0;
  /** The request that is let through after the bar; its verdict is awaited. */
  private trial?: {request: object; startedAt: number};

  private readonly handlers: NewsHandlers = {
    leaving: () => this.bar('leaving', Infinity),
    refused: ({retryAfterSeconds}, now) =>
      retryAfterSeconds === undefined
        ? this.noteShed(now)
        : this.noteBusy(retryAfterSeconds, now),
    unreachable: (_, now) =>
      this.bar('unreachable', now + this.options.unreachableMilliseconds),
    answered: (_, now) => this.noteAnswer(now),
    ended: () => {},
  };

  constructor(options: Partial<CircuitBreakerOptions> = {}) {
    this.options = {...defaultCircuitBreakerOptions, ...options};
  }

  /** Why it is barred, also where the bar has run out and is not lifted yet. */
  get reason(): BlockReason | undefined {
    return this.barredFor;
  }

  /** End of the bar; Infinity where only a new incarnation ends it. */
  get blockedUntil(): number {
    return this.until;
  }

  /** Whether a request may be sent. */
  admits(now: number): boolean {
    if (this.barredFor === undefined) return true;
    if (now < this.until) return false;
    const {trial, options} = this;
    if (trial === undefined) return true;
    return now - trial.startedAt >= options.probeMilliseconds;
  }

  /** A request is sent; the first one after a bar decides on the others. */
  begin(request: object, now: number): void {
    if (this.barredFor === undefined || now < this.until) return;
    this.trial ??= {request, startedAt: now};
  }

  /** What came of a request; several pieces of news may come of one. */
  record(request: object, news: ServerSignal, now: number): void {
    if (this.trial?.request === request) this.trial = undefined;
    const handler = this.handlers[news.kind] as (
      news: ServerSignal,
      now: number,
    ) => void;
    handler(news, now);
  }

  private bar(reason: BlockReason, until: number): void {
    if (until < this.until) return;
    this.barredFor = reason;
    this.until = until;
  }

  private noteBusy(seconds: number, now: number): void {
    const {maxBusyMilliseconds} = this.options;
    const wait = Math.min(Math.max(0, seconds * 1_000), maxBusyMilliseconds);
    this.bar('busy', now + wait);
  }

  private noteShed(now: number): void {
    const {sheddingMilliseconds, maxSheddingMilliseconds} = this.options;
    const wait = sheddingMilliseconds * 2 ** this.sheds;
    if (wait < maxSheddingMilliseconds) this.sheds++;
    this.bar('shedding', now + Math.min(wait, maxSheddingMilliseconds));
  }

  /** An answer lifts a bar that has run out, and none that still holds. */
  private noteAnswer(now: number): void {
    this.sheds = 0;
    if (now < this.until) return;
    this.barredFor = undefined;
    this.until = -Infinity;
  }
}
