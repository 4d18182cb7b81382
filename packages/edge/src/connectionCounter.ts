/**
 * @fileoverview Counts connections to backend servers that are made in time, late or
 * not at all: late ones tell a busy link of this router from servers that are
 * unreachable. Logs those that weren't made in time.
 */
import {type Clock, type Counter, type Logger} from '@dogwoodtrestle/runtime';

/** What became of an attempt to connect. */
export type ConnectOutcome = 'inTime' | 'late' | 'missing';

/** Time for which outcomes are collected into one log line. */
const reportMilliseconds = 1_000;

/** Options of a connection counter. */
export interface ConnectionCounterOptions {
  clock: Clock;
  logger: Logger;
  /** Attempts to connect, by outcome. */
  attempts: Counter;
}

/** Attempts since the last log line. */
interface CountedConnections {
  /** Attempts by outcome. */
  outcomes: Record<ConnectOutcome, number>;
  /** Servers to which a connection was late or missing. */
  servers: Set<string>;
  /** Longest time from an attempt to its end. */
  slowestMilliseconds: number;
}

/** Counts the connections to all servers. */
export class ConnectionCounter {
  private counted = emptyCount();
  private isReportScheduled = false;

  constructor(private readonly options: ConnectionCounterOptions) {}

  /**
   * Records the end of an attempt.
   *
   * @param milliseconds Time since it began.
   */
  record(address: string, outcome: ConnectOutcome, milliseconds: number): void {
    const {clock, attempts} = this.options;
    const {counted} = this;
    attempts.add({outcome});
    counted.outcomes[outcome]++;
    if (outcome === 'inTime') return;
    counted.servers.add(address);
    counted.slowestMilliseconds = Math.max(
      counted.slowestMilliseconds,
      Math.round(milliseconds),
    );
    if (this.isReportScheduled) return;
    this.isReportScheduled = true;
    clock.setTimer(reportMilliseconds, () => this.report());
  }

  private report(): void {
    const {outcomes, servers, slowestMilliseconds} = this.counted;
    this.isReportScheduled = false;
    this.counted = emptyCount();
    this.options.logger.info(
      {...outcomes, servers: servers.size, slowestMilliseconds},
      'connections to backend servers were late or missing',
    );
  }
}

function emptyCount(): CountedConnections {
  return {
    outcomes: {inTime: 0, late: 0, missing: 0},
    servers: new Set(),
    slowestMilliseconds: 0,
  };
}
