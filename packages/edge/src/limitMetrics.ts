/**
 * @fileoverview Metrics of the limits that backend servers state, and the pace
 * of the log lines on values that can't be read.
 */
import {type LimitChange} from '@dogwoodtrestle/fleet';
import {type Counter, type MetricsRegistry} from '@dogwoodtrestle/runtime';

/** What happened to a request at a server with a limit. */
export type LimitedOutcome = 'sent';

/** Minimum interval between log lines on one server's unreadable values. */
const unreadableLogMilliseconds = 5_000;

/** Servers whose last such line is remembered. */
const maxRememberedServers = 200;

/** Counters of one router. */
export class LimitMetrics {
  private readonly changes: Counter;
  private readonly requests: Counter;
  private readonly loggedAt = new Map<string, number>();

  constructor(metrics: MetricsRegistry) {
    this.changes = metrics.counter(
      'dogwoodtrestle_server_limit_changes_total',
      'Changes of the limits that backend servers state, by service.',
    );
    this.requests = metrics.counter(
      'dogwoodtrestle_limited_requests_total',
      'Requests that concern a backend server with a limit, by service.',
    );
  }

  countChange(service: string, change: LimitChange): void {
    this.changes.add({service, change});
  }

  countRequest(service: string, outcome: LimitedOutcome): void {
    this.requests.add({service, outcome});
  }

  /** Whether a line on an unreadable value of a server may be written now. */
  mayLog(server: string, now: number): boolean {
    const last = this.loggedAt.get(server) ?? -Infinity;
    if (now - last < unreadableLogMilliseconds) return false;
    if (this.loggedAt.size >= maxRememberedServers) this.loggedAt.clear();
    this.loggedAt.set(server, now);
    return true;
  }
}
