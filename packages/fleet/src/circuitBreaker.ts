/**
 * @fileoverview Blocks requests of this router to a backend server that refused
 * work, leaves or is unreachable, for a time.
 *
 * Pattern: circuit breaker. When a block expires, one trial request is sent; the
 * others follow once it was accepted, so they don't all arrive at once.
 */

/** Why a server gets no requests. */
export type BlockReason =
  /** It announced that it leaves. */
  | 'leaving'
  /** It refused work and gave a time after which to retry. */
  | 'busy'
  /** It refused work and gave no time. */
  | 'shedding'
  /** No connection could be made. */
  | 'unreachable';

/** What one request shows about the state of a server. */
export type ServerSignal =
  | {kind: 'leaving'}
  | {kind: 'refused'; retryAfterSeconds?: number}
  /** No connection could be made; if it `isRefused`, no process listens. */
  | {kind: 'unreachable'; isRefused: boolean}
  | {kind: 'answered'}
  /** The request ended without a response of the server. */
  | {kind: 'ended'};

/** Options of a circuit breaker. */
export interface CircuitBreakerOptions {
  /** Block after a refusal without a time; doubled by each consecutive one. */
  sheddingMilliseconds: number;
  /** Longest block after a refusal without a time. */
  maxSheddingMilliseconds: number;
  /** Block after a failed connection. */
  unreachableMilliseconds: number;
  /** Longest block that a server may ask for. */
  maxBusyMilliseconds: number;
  /** Time after which a trial request that was not refused counts as accepted. */
  trialMilliseconds: number;
}

export const defaultCircuitBreakerOptions: CircuitBreakerOptions = {
  // A slot of an engine with 12 slots and streams of half a second comes free
  // every 40 ms, and many routers ask for it.
  sheddingMilliseconds: 100,
  maxSheddingMilliseconds: 800,
  unreachableMilliseconds: 1_000,
  maxBusyMilliseconds: 60_000,
  // Servers refuse work as it arrives, within a few milliseconds.
  trialMilliseconds: 250,
};

type SignalHandlers = {
  [K in ServerSignal['kind']]: (
    signal: Extract<ServerSignal, {kind: K}>,
    now: number,
  ) => void;
};

/** Circuit breaker of one server incarnation. Times are in milliseconds. */
export class CircuitBreaker {
  private readonly options: CircuitBreakerOptions;
  private blockReason?: BlockReason;
  private until = -Infinity;
  /** Number of consecutive refusals without a time. */
  private sheds = 0;
  /** The trial request after a block (half-open state), until its result. */
  private trial?: {request: object; startedAt: number};

  private readonly handlers: SignalHandlers = {
    leaving: () => this.block('leaving', Infinity),
    refused: ({retryAfterSeconds}, now) =>
      retryAfterSeconds === undefined
        ? this.recordShedding(now)
        : this.recordBusy(retryAfterSeconds, now),
    unreachable: (_, now) =>
      this.block('unreachable', now + this.options.unreachableMilliseconds),
    answered: (_, now) => this.recordAnswer(now),
    ended: () => {},
  };

  constructor(options: Partial<CircuitBreakerOptions> = {}) {
    this.options = {...defaultCircuitBreakerOptions, ...options};
  }

  /** Reason of the block; set until a response after its end removes it. */
  get reason(): BlockReason | undefined {
    return this.blockReason;
  }

  /** End of the block; Infinity if only a new incarnation ends it. */
  get blockedUntil(): number {
    return this.until;
  }

  /** Whether a request may be sent. */
  admits(now: number): boolean {
    if (this.blockReason === undefined) return true;
    if (now < this.until) return false;
    const {trial, options} = this;
    if (trial === undefined) return true;
    return now - trial.startedAt >= options.trialMilliseconds;
  }

  /** Records that a request is sent; the first one after a block is the trial. */
  begin(request: object, now: number): void {
    if (this.blockReason === undefined || now < this.until) return;
    this.trial ??= {request, startedAt: now};
  }

  /** Records a signal of a request; one request may give several signals. */
  record(request: object, signal: ServerSignal, now: number): void {
    if (this.trial?.request === request) this.trial = undefined;
    const handler = this.handlers[signal.kind] as (
      signal: ServerSignal,
      now: number,
    ) => void;
    handler(signal, now);
  }

  private block(reason: BlockReason, until: number): void {
    if (until < this.until) return;
    this.blockReason = reason;
    this.until = until;
  }

  private recordBusy(seconds: number, now: number): void {
    const {maxBusyMilliseconds} = this.options;
    const wait = Math.min(Math.max(0, seconds * 1_000), maxBusyMilliseconds);
    this.block('busy', now + wait);
  }

  private recordShedding(now: number): void {
    const {sheddingMilliseconds, maxSheddingMilliseconds} = this.options;
    const wait = sheddingMilliseconds * 2 ** this.sheds;
    if (wait < maxSheddingMilliseconds) this.sheds++;
    this.block('shedding', now + Math.min(wait, maxSheddingMilliseconds));
  }

  /** Removes a block that has expired; one that still holds stays. */
  private recordAnswer(now: number): void {
    this.sheds = 0;
    if (now < this.until) return;
    this.blockReason = undefined;
    this.until = -Infinity;
  }
}
