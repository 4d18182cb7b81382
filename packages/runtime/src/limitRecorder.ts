/**
 * @fileoverview Counts and logs clients that meet a limit of a port.
 */
import {type BodyFailure} from './bodyReader.js';
import {type Clock, systemClock} from './clock.js';
import {type Logger} from './logger.js';
import {type MetricsRegistry} from './metricsRegistry.js';

/** A limit that a client has met. */
export type ClientLimit =
  /** Bytes or pieces of all clients; the largest holder was given up. */
  | 'memory'
  /** Bytes of one body. */
  | 'bodyBytes'
  /** Values in the JSON of one body. */
  | 'bodyValues'
  /** Time of a body. */
  | 'bodyTime'
  /** Requests sent ahead on one connection. */
  | 'requestsAhead'
  /** Open connections; one was closed. */
  | 'connections';

/** Receives each use of a limit. */
export type LimitListener = (limit: ClientLimit) => void;

/** The limit by which a body was not read. */
export const limitsOfFailures: Readonly<
  Record<Exclude<BodyFailure, 'gone'>, ClientLimit>
> = {
  tooLarge: 'bodyBytes',
  late: 'bodyTime',
  crowded: 'memory',
};

/** Options of a recorder. */
export interface LimitRecorderOptions {
  logger: Logger;
  clock: Clock;
  /** Message of the log lines. */
  message: string;
  /** Counts each use. */
  count: LimitListener;
  /** Further fields of a log line. */
  describe: () => object;
  /** Shortest time between two log lines on one limit. */
  logIntervalMilliseconds: number;
}

/** Default options. */
export const defaultLimitRecorderOptions = {
  clock: systemClock,
  message: 'client met a limit',
  describe: () => ({}),
  logIntervalMilliseconds: 1_000,
} satisfies Partial<LimitRecorderOptions>;

/** What was recorded of one limit. */
interface LimitUse {
  loggedAt: number;
  /** Uses since the last log line. */
  times: number;
}

/** Counts all uses of limits, and logs them at times. */
export class LimitRecorder {
  private readonly options: LimitRecorderOptions;
  private readonly uses = new Map<ClientLimit, LimitUse>();

  constructor(
    options: Partial<LimitRecorderOptions> &
      Pick<LimitRecorderOptions, 'logger' | 'count'>,
  ) {
    this.options = {...defaultLimitRecorderOptions, ...options};
  }

  readonly record: LimitListener = limit => {
    const {clock, logger, count, message, describe, ...options} = this.options;
    count(limit);
    const use = this.uses.get(limit) ?? {loggedAt: -Infinity, times: 0};
    this.uses.set(limit, use);
    use.times++;
    const now = clock.now();
    if (now - use.loggedAt < options.logIntervalMilliseconds) return;
    logger.warn({limit, times: use.times, ...describe()}, message);
    use.loggedAt = now;
    use.times = 0;
  };
}

/** Who uses a port that is not the callers'. */
export type PortName = 'processes' | 'operators' | 'readiness' | 'metrics';

/** Returns a listener that records the uses of the limits of a port. */
export function recordLimitsOf(
  port: PortName,
  {logger, metrics}: {logger: Logger; metrics: MetricsRegistry},
): LimitListener {
  const uses = metrics.counter(
    'dogwoodtrestle_port_limits_total',
    'Clients of other ports that were refused or closed, by the port and the limit.',
  );
  const count = (limit: ClientLimit) => uses.add({port, limit});
  return new LimitRecorder({logger, count, describe: () => ({port})}).record;
}
