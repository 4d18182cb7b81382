/**
 * @fileoverview Passes on how long servers take to respond to one request: to the
 * timeouts of its service, and to the speeds of the servers.
 */
import {type ResponseTimes} from '@dogwoodtrestle/fleet';

import {type AttemptFailure} from './attempt.js';
import {type AttemptProgress} from './attemptProgress.js';
import {type EdgeContext} from './edgeContext.js';
import {type RequestTerms} from './requestTerms.js';
import {type StallCheckState} from './stallWatch.js';

/** Pauses after which those of a stream that goes on are recorded. */
const recordedGaps = 8;

/** Observes the times of one request. */
export class ResponseTimer {
  private readonly times: ResponseTimes;

  constructor(
    private readonly context: Pick<
      EdgeContext,
      'pool' | 'paces' | 'speeds' | 'clock'
    >,
    service: string,
    private readonly terms: Pick<RequestTerms, 'promptTokens'>,
  ) {
    this.times = context.pool.responseTimes(service);
  }

  /** Timeout for the first event, in milliseconds. */
  get firstEventTimeout(): number {
    return this.times.firstEventTimeout(this.terms.promptTokens);
  }

  /** Records the head of a response that is no stream. */
  observeHead(progress: AttemptProgress): void {
    const {server, startedAt, status} = progress;
    const milliseconds = this.context.clock.now() - startedAt;
    const expected = this.times.expectedMilliseconds(0);
    this.times.observe(0, milliseconds);
    // An error often comes sooner than an answer would.
    if (status >= 500) return;
    this.observeSpeed(server, milliseconds);
    this.context.paces.recordAnswer(progress, expected);
  }

  observeFirstEvent(progress: AttemptProgress): void {
    const {server, startedAt, progressAt} = progress;
    const milliseconds = progressAt - startedAt;
    progress.recordedEvents = progress.events;
    progress.recordedAt = progressAt;
    const {promptTokens} = this.terms;
    const expected = this.times.expectedMilliseconds(promptTokens);
    this.times.observe(promptTokens, milliseconds);
    this.observeSpeed(server, milliseconds);
    this.context.paces.recordAnswer(progress, expected);
  }

  /** Records the time that a request has waited when it is sent to another server. */
  observeStall({server}: AttemptProgress, state: StallCheckState): void {
    const {hasFirstEvent, silence, serverSilence} = state;
    if (hasFirstEvent) return;
    const isAlive = serverSilence < silence;
    if (isAlive) this.times.observe(this.terms.promptTokens, silence);
    this.observeSpeed(server, silence);
  }

  /** Records an attempt that failed without being run. */
  observeFailure({server}: AttemptProgress, failure: AttemptFailure): void {
    const isFull = failure.kind === 'notExecuted' && failure.status === 503;
    if (isFull) this.context.speeds.observeRefusal(server);
  }

  /** Records the pauses of a stream, some at a time. */
  observeEvents(progress: AttemptProgress): void {
    const gaps = progress.events - progress.recordedEvents;
    if (gaps >= recordedGaps) this.observeGaps(progress, gaps);
  }

  /** Records that an attempt has ended, with the last pauses of a stream. */
  observeEnd(progress: AttemptProgress): void {
    const {server, startedAt, hasFirstEvent, events} = progress;
    const {clock, speeds} = this.context;
    speeds.observeHold(server, clock.now() - startedAt);
    const gaps = events - progress.recordedEvents;
    if (hasFirstEvent && gaps > 0) this.observeGaps(progress, gaps);
  }

  private observeGaps(progress: AttemptProgress, gaps: number): void {
    const {server, progressAt, recordedAt, events} = progress;
    this.context.speeds.observeGaps(server, gaps, progressAt - recordedAt);
    progress.recordedEvents = events;
    progress.recordedAt = progressAt;
  }

  private observeSpeed(
    server: AttemptProgress['server'],
    milliseconds: number,
  ): void {
    const {promptTokens} = this.terms;
    this.context.speeds.observe(server, promptTokens, milliseconds);
  }
}
