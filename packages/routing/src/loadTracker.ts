/**
 * @fileoverview This instance's own requests in flight on each backend server,
 * and how far they put a lagging load report right.
 *
 * A report shows a server as it was some time before the report was made. Own
 * requests that started after that moment aren't in it yet, and those that
 * ended after it are still in it.
 */
import {type BackendEntry} from './directory.js';

export interface LoadTrackerOptions {
  /** How far the load that a server reports lags behind its announcement. */
  reportLagMilliseconds: number;
  /** Ended requests are remembered this long. */
  retentionMilliseconds: number;
}

export const defaultLoadTrackerOptions: LoadTrackerOptions = {
  reportLagMilliseconds: 1_000,
  retentionMilliseconds: 5_000,
};

interface EndedRequest {
  startedAt: number;
  endedAt: number;
}

interface BackendRequests {
  /** Start times by attempt id. */
  running: Map<string, number>;
  /** In the order in which they ended. */
  ended: EndedRequest[];
}

export class LoadTracker {
  private readonly options: LoadTrackerOptions;
  private readonly byBackend = new Map<string, BackendRequests>();

  constructor(options: Partial<LoadTrackerOptions> = {}) {
    this.options = {...defaultLoadTrackerOptions, ...options};
  }

  start(backend: string, attempt: string, now: number): void {
    let requests = this.byBackend.get(backend);
    if (!requests) {
      requests = {running: new Map(), ended: []};
      this.byBackend.set(backend, requests);
    }
    requests.running.set(attempt, now);
  }

  end(backend: string, attempt: string, now: number): void {
    const requests = this.byBackend.get(backend);
    const startedAt = requests?.running.get(attempt);
    if (!requests || startedAt === undefined) return;
    requests.running.delete(attempt);
    requests.ended.push({startedAt, endedAt: now});
    this.trim(requests, now);
  }

  /** Own requests in flight there. */
  inFlight(backend: string): number {
    return this.byBackend.get(backend)?.running.size ?? 0;
  }

  /**
   * Number to add to the load that an announcement reports: own requests
   * started since, less those that have ended since. May be negative.
   */
  loadCorrection({announcement, observedAt}: BackendEntry): number {
    const requests = this.byBackend.get(announcement.name);
    if (!requests) return 0;
    const reportedAt = observedAt - this.options.reportLagMilliseconds;
    let correction = 0;
    for (const startedAt of requests.running.values()) {
      if (startedAt > reportedAt) correction += 1;
    }
    for (const {startedAt, endedAt} of requests.ended) {
      if (startedAt <= reportedAt && endedAt > reportedAt) correction -= 1;
    }
    return correction;
  }

  /** Drops what is known of a server, as when the directory forgets it. */
  remove(backend: string): void {
    if (this.inFlight(backend) === 0) this.byBackend.delete(backend);
  }

  private trim({ended}: BackendRequests, now: number): void {
    const oldest = now - this.options.retentionMilliseconds;
    const firstKept = ended.findIndex(({endedAt}) => endedAt >= oldest);
    if (firstKept > 0) ended.splice(0, firstKept);
  }
}
