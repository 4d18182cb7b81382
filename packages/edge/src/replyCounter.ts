/**
 * @fileoverview Counts the replies of other processes that are in time, late or
 * missing: late ones tell a busy link from a partition. Logs those that weren't in
 * time, with the calls that have no reply yet.
 */
import {type Counter} from '@dogwoodtrestle/runtime';

import {type EdgeOptions} from './edgeOptions.js';

/** What became of a call: a reply in time, one after that, or none. */
type ReplyOutcome = 'inTime' | 'late' | 'missing';

/** Time for which outcomes are collected into one log line. */
const reportMilliseconds = 1_000;

/** Calls of one method since the last log line. */
interface MethodReplies {
  late: number;
  missing: number;
  /** Longest time from a call to its end. */
  slowestMilliseconds: number;
}

/** Counts replies by the method that was called. */
export class ReplyCounter {
  private readonly replies: Counter;
  private readonly pending = new Map<string, number>();
  private methods: Record<string, MethodReplies> = {};
  private isReportScheduled = false;

  constructor(
    private readonly options: Pick<EdgeOptions, 'clock' | 'logger' | 'metrics'>,
  ) {
    this.replies = options.metrics.counter(
      'dogwoodtrestle_peer_replies_total',
      'Replies of other processes, by method: in time, late or missing.',
    );
  }

  /**
   * Counts the reply to a call that starts now, and returns the call.
   *
   * @param milliseconds Time after which the reply is late.
   */
  count<T>(method: string, call: Promise<T>, milliseconds: number): Promise<T> {
    const {clock} = this.options;
    const sentAt = clock.now();
    this.addPending(method, 1);
    const add = (outcome: ReplyOutcome) => {
      this.addPending(method, -1);
      this.replies.add({method, outcome});
      if (outcome !== 'inTime') {
        this.note(method, outcome, clock.now() - sentAt);
      }
    };
    call.then(
      () => add(clock.now() - sentAt > milliseconds ? 'late' : 'inTime'),
      () => add('missing'),
    );
    return call;
  }

  private addPending(method: string, change: number): void {
    this.pending.set(method, (this.pending.get(method) ?? 0) + change);
  }

  private note(
    method: string,
    outcome: 'late' | 'missing',
    milliseconds: number,
  ): void {
    const replies = (this.methods[method] ??= {
      late: 0,
      missing: 0,
      slowestMilliseconds: 0,
    });
    replies[outcome]++;
    replies.slowestMilliseconds = Math.max(
      replies.slowestMilliseconds,
      Math.round(milliseconds),
    );
    if (this.isReportScheduled) return;
    this.isReportScheduled = true;
    this.options.clock.setTimer(reportMilliseconds, () => this.report());
  }

  private report(): void {
    const {methods, pending, options} = this;
    this.isReportScheduled = false;
    this.methods = {};
    options.logger.info(
      {methods, pending: Object.fromEntries(pending)},
      'replies of other processes were late or missing',
    );
  }
}
