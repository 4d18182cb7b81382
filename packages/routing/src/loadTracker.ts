/**
 * @fileoverview Tracks this instance's own requests on each backend server and
 * corrects delayed load reports by them.
 *
 * A report shows the load some time before the announcement was made. Local
 * requests that started after that time are missing from the report, and
 * those that ended after it are still included.
 */
import {type BackendEntry} from './backendDirectory.js';

/** Timing of load reports. */
export interface LoadTrackerOptions {
  /** Delay between the reported load and the announcement that carries it. */
  reportLagMilliseconds: number;
  /** Time for which ended requests are kept to correct later reports. */
  retentionMilliseconds: number;
}

/** Default timing. */
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
  /** Recently ended requests, the earliest ended first. */
  ended: EndedRequest[];
}

/** Local requests by backend server. Times are monotonic milliseconds. */
export class LoadTracker {
  private readonly options: LoadTrackerOptions;
  private readonly byBackend = new Map<string, BackendRequests>();

  constructor(options: Partial<LoadTrackerOptions> = {}) {
    this.options = {...defaultLoadTrackerOptions, ...options};
  }

  /** Records the start of an attempt. */
  start(backend: string, attempt: string, now: number): void {
    let requests = this.byBackend.get(backend);
    if (!requests) {
      requests = {running: new Map(), ended: []};
      this.byBackend.set(backend, requests);
    }
    requests.running.set(attempt, now);
  }

  /** Records the end of an attempt; unknown attempts are ignored. */
  end(backend: string, attempt: string, now: number): void {
    const requests = this.byBackend.get(backend);
    const startedAt = requests?.running.get(attempt);
    if (!requests || startedAt === undefined) return;
    requests.running.delete(attempt);
    requests.ended.push({startedAt, endedAt: now});
    this.pruneEnded(requests, now);
  }

  /** Returns the number of local requests in flight at the server. */
  inFlight(backend: string): number {
    return this.byBackend.get(backend)?.running.size ?? 0;
  }

  /**
   * Returns the number to add to the reported load: local requests that started
   * since the report, less those that ended since. May be negative.
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

  /**
   * Removes a server that the directory has removed, unless local requests are
   * still in flight there.
   */
  remove(backend: string): void {
    if (this.inFlight(backend) === 0) this.byBackend.delete(backend);
  }

  private pruneEnded({ended}: BackendRequests, now: number): void {
    const oldest = now - this.options.retentionMilliseconds;
    const firstKept = ended.findIndex(({endedAt}) => endedAt >= oldest);
    if (firstKept > 0) ended.splice(0, firstKept);
  }
}
