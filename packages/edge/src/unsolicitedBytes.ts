/**
 * @fileoverview Counts and logs bytes that backend servers sent though no request
 * waited for them, such as a second response to an earlier request.
 */
import {
  type Clock,
  type Counter,
  type Logger,
  type MetricsRegistry,
} from '@dogwoodtrestle/runtime';
import {type BackendServerRecord} from '@dogwoodtrestle/schema';

/** Where bytes came that nobody waited for. */
export type UnsolicitedPlace =
  /** On a connection that no request used. */
  | 'idle'
  /** In place of the response to a request. */
  | 'response';

/** Options of the recorder. */
export interface UnsolicitedBytesOptions {
  clock: Clock;
  logger: Logger;
  metrics: MetricsRegistry;
}

/** Shortest time between two log lines. */
const logIntervalMilliseconds = 1_000;

/** Counts all of them, and logs them at times. */
export class UnsolicitedBytes {
  private readonly count: Counter;
  private loggedAt = -Infinity;
  /** Times since the last log line. */
  private times = 0;

  constructor(private readonly options: UnsolicitedBytesOptions) {
    this.count = options.metrics.counter(
      'dogwoodtrestle_unsolicited_responses_total',
      'Times that a backend server sent bytes that no request waited for, by ' +
        'service and place.',
    );
  }

  record(
    {id, service}: Pick<BackendServerRecord, 'id' | 'service'>,
    place: UnsolicitedPlace,
  ): void {
    const {clock, logger} = this.options;
    this.count.add({service, place});
    this.times++;
    const now = clock.now();
    if (now - this.loggedAt < logIntervalMilliseconds) return;
    logger.warn(
      {server: id, service, place, times: this.times},
      'backend server sent bytes that no request waited for',
    );
    this.loggedAt = now;
    this.times = 0;
  }
}
