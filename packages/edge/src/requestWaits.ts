/**
 * @fileoverview Waits of one request for room at this router: for a part of its
 * processor, then for a connection to a server.
 */
import {type EdgeContext} from './edgeContext.js';
import {retryAfterFor, retryAfterWait, type TimedRefusal} from './refusal.js';
import {minSendTimeMilliseconds} from './requestLimits.js';
import {waitTermsOf} from './roomWaits.js';
import {type RoutedRequest} from './routedRequest.js';
import {type PooledServer} from './serverPool.js';
import {
  isShortOfConnections,
  refuseWithoutServer,
  type SelectionCriteria,
  selectServer,
} from './serverSelection.js';

/** Receives the server of a request; one of the first two is called once. */
export interface ServerListener {
  /** The request takes its connection before it returns. */
  onServer: (server: PooledServer, now: number) => void;
  onNone: (refusal: TimedRefusal) => void;
  /** Called if one of the others throws after a wait. */
  onFailed: (error: unknown) => void;
}

/** What the waits work on. */
export type WaitContext = Pick<
  EdgeContext,
  | 'admission'
  | 'clock'
  | 'connections'
  | 'connectionWaits'
  | 'limits'
  | 'options'
  | 'pool'
  | 'reach'
  | 'routes'
  | 'speeds'
>;

/** Waits of one request. */
export class RequestWaits {
  /** Time of all waits that have ended. */
  milliseconds = 0;
  /** Ends the present wait. */
  private leave?: () => void;
  /** Gives back the part of the processor. */
  private release?: () => void;

  constructor(
    private readonly context: WaitContext,
    private readonly input: RoutedRequest,
  ) {}

  /**
   * Returns undefined for a request that is admitted at once; else resolves with
   * the refusal of one that is not admitted.
   */
  admit(): Promise<TimedRefusal | undefined> | undefined {
    const {admission, options} = this.context;
    this.release = admission.enterAtOnce(this.input.workspace?.name ?? '');
    if (this.release !== undefined) return undefined;
    const recordTime = this.startTime();
    return new Promise((resolve, reject) => {
      const leave = admission.enter(waitTermsOf(this.input), {
        onAdmitted: release => {
          this.release = release;
          recordTime();
          resolve(undefined);
        },
        onRefused: () => {
          recordTime();
          const reason = 'routerBusy';
          const retryAfterSeconds = retryAfterFor(reason, options.random);
          resolve({reason, retryAfterSeconds});
        },
        onFailed: reject,
      });
      this.leave = () => {
        leave();
        resolve(undefined);
      };
    });
  }

  /**
   * Finds a server at once, or after a wait if only connections are lacking.
   *
   * @param deadline Monotonic time of the request's deadline, in milliseconds.
   */
  findServer(
    criteria: SelectionCriteria,
    deadline: number,
    listener: ServerListener,
  ): void {
    const {clock, connectionWaits} = this.context;
    const now = clock.now();
    const isClaimed = connectionWaits.isClaimed(criteria.service);
    if (!isClaimed && this.select(criteria, listener)) return;
    if (isShortOfConnections(this.context, criteria, now)) {
      this.waitForConnection(criteria, deadline, listener);
    } else this.refuse(criteria, listener);
  }

  private waitForConnection(
    criteria: SelectionCriteria,
    deadline: number,
    listener: ServerListener,
  ): void {
    const {clock, connectionWaits, options} = this.context;
    const terms = waitTermsOf(this.input);
    const timeLeft = deadline - clock.now() - minSendTimeMilliseconds;
    const maxWaitMilliseconds = Math.min(terms.maxWaitMilliseconds, timeLeft);
    const recordTime = this.startTime();
    this.leave = connectionWaits.enter(
      criteria.service,
      {...terms, maxWaitMilliseconds, need: criteria},
      {
        onRoom: () => {
          recordTime();
          if (!this.select(criteria, listener)) this.refuse(criteria, listener);
        },
        onRefused: milliseconds => {
          recordTime();
          const retryAfterSeconds = retryAfterWait(
            milliseconds,
            options.random,
          );
          listener.onNone({reason: 'noServer', retryAfterSeconds});
        },
        onFailed: error => listener.onFailed(error),
      },
    );
  }

  /** Passes a server on; returns false if there is none. */
  private select(
    criteria: SelectionCriteria,
    {onServer}: ServerListener,
  ): boolean {
    const now = this.context.clock.now();
    const server = selectServer(this.context, criteria, now);
    if (server !== undefined) onServer(server, now);
    return server !== undefined;
  }

  private refuse(criteria: SelectionCriteria, {onNone}: ServerListener): void {
    const request = {...criteria, reason: 'noServer'} as const;
    const now = this.context.clock.now();
    onNone(refuseWithoutServer(this.context, request, now));
  }

  /** Ends the present wait, and gives back what the request has. */
  end(): void {
    this.leave?.();
    this.release?.();
    this.release = undefined;
  }

  private startTime(): () => void {
    const {clock} = this.context;
    const startedAt = clock.now();
    return () => {
      this.milliseconds += clock.now() - startedAt;
    };
  }
}
