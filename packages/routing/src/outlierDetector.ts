/**
 * @fileoverview Ejects backend servers that fail many requests, for a time that
 * doubles with each consecutive ejection. The share of ejected servers is
 * bounded, so that a fault common to all servers does not eject all of them.
 */

/** Thresholds and durations of ejections. */
export interface OutlierDetectorOptions {
  /** Consecutive failures that eject a server. */
  consecutiveFailures: number;
  /** Success rate in the window, from 0 to 1, below which a server is ejected. */
  minimumSuccessRate: number;
  /** Minimum requests in the window for the success rate to count. */
  minimumRequests: number;
  /** Length of the window in which requests and failures are counted. */
  windowMilliseconds: number;
  /** Duration of the first ejection; each consecutive one doubles it. */
  baseEjectionMilliseconds: number;
  /** Upper bound on the duration of an ejection. */
  maximumEjectionMilliseconds: number;
  /** Maximum share of the servers that may be ejected at the same time. */
  maximumEjectedShare: number;
}

/** Default thresholds and durations. */
export const defaultOutlierDetectorOptions: OutlierDetectorOptions = {
  consecutiveFailures: 5,
  minimumSuccessRate: 0.5,
  minimumRequests: 10,
  windowMilliseconds: 10_000,
  baseEjectionMilliseconds: 5_000,
  maximumEjectionMilliseconds: 60_000,
  maximumEjectedShare: 0.34,
};

interface ServerStats {
  consecutiveFailures: number;
  windowStart: number;
  requests: number;
  failures: number;
  consecutiveEjections: number;
  ejectedUntil: number;
}

/** Failure statistics and ejections by server. Times are in milliseconds. */
export class OutlierDetector {
  private readonly options: OutlierDetectorOptions;
  private readonly statsByServer = new Map<string, ServerStats>();

  constructor(options: Partial<OutlierDetectorOptions> = {}) {
    this.options = {...defaultOutlierDetectorOptions, ...options};
  }

  /**
   * Records the outcome of an attempt. Only server failures are to be recorded
   * as `failure`: no connection, a connection reset, a timeout or a 5xx status.
   *
   * @param serverCount Number of servers that could have taken the request;
   *     bounds the number of ejected servers.
   */
  record(
    name: string,
    outcome: 'success' | 'failure',
    serverCount: number,
    now: number,
  ): void {
    const server = this.statsOf(name, now);
    server.requests += 1;
    if (outcome === 'success') this.recordSuccess(server, now);
    else this.recordFailure(server, serverCount, now);
  }

  /** Whether the server is ejected at the given time. */
  isEjected(name: string, now: number): boolean {
    return (this.statsByServer.get(name)?.ejectedUntil ?? -Infinity) > now;
  }

  /** Removes the statistics of a server, e.g. after it restarted. */
  remove(name: string): void {
    this.statsByServer.delete(name);
  }

  private recordSuccess(server: ServerStats, now: number): void {
    server.consecutiveFailures = 0;
    // A success during an ejection belongs to a request that was sent before it
    // and is no evidence of recovery.
    if (server.ejectedUntil <= now) server.consecutiveEjections = 0;
  }

  private recordFailure(
    server: ServerStats,
    serverCount: number,
    now: number,
  ): void {
    server.failures += 1;
    server.consecutiveFailures += 1;
    if (server.ejectedUntil > now || !this.isOutlier(server)) return;
    if (!this.canEject(serverCount, now)) return;
    const {baseEjectionMilliseconds, maximumEjectionMilliseconds} =
      this.options;
    const duration =
      baseEjectionMilliseconds * 2 ** server.consecutiveEjections;
    server.ejectedUntil = now + Math.min(duration, maximumEjectionMilliseconds);
    server.consecutiveEjections += 1;
    server.requests = 0;
    server.failures = 0;
  }

  private isOutlier(server: ServerStats): boolean {
    const {consecutiveFailures, minimumRequests, minimumSuccessRate} =
      this.options;
    // Directly after an ejection a single failure shows that the server has not
    // recovered.
    const failuresNeeded =
      server.consecutiveEjections > 0 ? 1 : consecutiveFailures;
    if (server.consecutiveFailures >= failuresNeeded) return true;
    const successRate = 1 - server.failures / server.requests;
    return (
      server.requests >= minimumRequests && successRate < minimumSuccessRate
    );
  }

  private canEject(serverCount: number, now: number): boolean {
    let ejected = 0;
    for (const {ejectedUntil} of this.statsByServer.values()) {
      if (ejectedUntil > now) ejected += 1;
    }
    // With few servers the share allows none; one of at least two may still be
    // ejected.
    const allowed = serverCount * this.options.maximumEjectedShare;
    return ejected + 1 <= Math.max(allowed, Math.min(1, serverCount - 1));
  }

  private statsOf(name: string, now: number): ServerStats {
    let server = this.statsByServer.get(name);
    if (!server) {
      server = {
        consecutiveFailures: 0,
        windowStart: now,
        requests: 0,
        failures: 0,
        consecutiveEjections: 0,
        ejectedUntil: -Infinity,
      };
      this.statsByServer.set(name, server);
    }
    if (now - server.windowStart >= this.options.windowMilliseconds) {
      server.windowStart = now;
      server.requests = 0;
      server.failures = 0;
    }
    return server;
  }
}
