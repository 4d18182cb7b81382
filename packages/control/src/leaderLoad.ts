/**
 * @fileoverview Load of this process while it leads: waiting calls, replies with
 * their bytes and times, and the delay of its event loop. Logged each second in
 * which something was slow, so that a busy processor can be told from a busy link
 * and from routers that call another process.
 */
import {
  type ConnectionCounts,
  type Counter,
  EventLoopDelay,
  type Histogram,
  type ReplyRecord,
} from '@dogwoodtrestle/runtime';

import {type ControlOptions} from './controlOptions.js';

/** Interval of the log line. */
export const loadIntervalMilliseconds = 1_000;

/** Time of a reply, or delay of the event loop, from which it is logged. */
const slowMilliseconds = 100;

/** Counts of one method since the last line. */
interface MethodLoad {
  replies: number;
  kilobytes: number;
  slowestMilliseconds: number;
  /** Calls whose caller was gone before the end of the reply. */
  abandoned: number;
}

/** State of the leader that the line names. */
export interface LeaderState {
  isLeader: boolean;
  term: number;
  connections: ConnectionCounts;
  waitingCalls: number;
  /** Replies with changes that wait until others are on their way. */
  waitingDeliveries: number;
  routersBehind: number;
}

const bytesPerKilobyte = 1_000;

/** Measures and logs the load. */
export class LeaderLoad {
  private readonly eventLoop: EventLoopDelay;
  private readonly times: Histogram;
  private readonly bytes: Counter;
  private readonly abandoned: Counter;
  private methods: Record<string, MethodLoad> = {};
  /** Connections that were accepted before the last line. */
  private accepted = 0;

  constructor(
    private readonly options: Pick<
      ControlOptions,
      'clock' | 'logger' | 'metrics'
    >,
  ) {
    const {clock, metrics} = options;
    this.eventLoop = new EventLoopDelay(clock, metrics);
    this.times = metrics.histogram(
      'dogwoodtrestle_reply_milliseconds',
      'Time from a call until its reply was handed over, waits for changes included, by method.',
    );
    this.bytes = metrics.counter(
      'dogwoodtrestle_reply_bytes_total',
      'Bytes of replies, by method.',
    );
    this.abandoned = metrics.counter(
      'dogwoodtrestle_abandoned_calls_total',
      'Calls whose caller was gone before the end of the reply, by method.',
    );
  }

  /** Starts to measure the event loop. */
  start(): void {
    this.eventLoop.start();
  }

  /** Stops measuring. */
  stop(): void {
    this.eventLoop.stop();
  }

  /** Records a reply. */
  record({method, bytes, milliseconds, isSent}: ReplyRecord): void {
    const load = (this.methods[method] ??= {
      replies: 0,
      kilobytes: 0,
      slowestMilliseconds: 0,
      abandoned: 0,
    });
    if (!isSent) {
      load.abandoned++;
      this.abandoned.add({method});
      return;
    }
    load.replies++;
    load.kilobytes += bytes / bytesPerKilobyte;
    load.slowestMilliseconds = Math.max(load.slowestMilliseconds, milliseconds);
    this.times.observe(milliseconds, {method});
    this.bytes.add({method}, bytes);
  }

  /** Logs the load since the last call, if this process leads and it is high. */
  report({isLeader, connections, ...state}: LeaderState): void {
    const eventLoopMilliseconds = Math.round(this.eventLoop.takeLongest());
    const {methods} = this;
    this.methods = {};
    const newConnections = connections.accepted - this.accepted;
    this.accepted = connections.accepted;
    const isSlow = eventLoopMilliseconds >= slowMilliseconds;
    if (!isLeader || (!isSlow && state.routersBehind === 0)) return;
    for (const load of Object.values(methods)) {
      load.kilobytes = Math.round(load.kilobytes);
      load.slowestMilliseconds = Math.round(load.slowestMilliseconds);
    }
    this.options.logger.info(
      {
        ...state,
        openConnections: connections.open,
        newConnections,
        eventLoopMilliseconds,
        methods,
      },
      'load of the leader',
    );
  }
}
