/**
 * @fileoverview Ejects backend servers that fail much of their work, for a
 * time that grows with each ejection in a row, while a bound on the share of
 * ejected servers keeps a fault that hits all of them from emptying the fleet.
 */

export interface OutlierDetectorOptions {
  /** Failures in a row that eject a server. */
  consecutiveFailures: number;
  /** A success rate below this ejects a server. */
  minimumSuccessRate: number;
  /** Requests in the window before the success rate counts. */
  minimumRequests: number;
  windowMilliseconds: number;
  /** Duration of the first ejection; each in a row doubles it. */
  baseEjectionMilliseconds: number;
  maximumEjectionMilliseconds: number;
  /** Largest share of the known servers that may be ejected at once. */
  maximumEjectedShare: number;
}

export const defaultOutlierDetectorOptions: OutlierDetectorOptions = {
  consecutiveFailures: 5,
  minimumSuccessRate: 0.5,
  minimumRequests: 10,
  windowMilliseconds: 10_000,
  baseEjectionMilliseconds: 5_000,
  maximumEjectionMilliseconds: 60_000,
  maximumEjectedShare: 0.34,
};

interface ServerRecord {
  failuresInARow: number;
  windowStart: number;
  requests: number;
  failures: number;
  ejectionsInARow: number;
  ejectedUntil: number;
}

export class OutlierDetector {
  private readonly options: OutlierDetectorOptions;
  private readonly records = new Map<string, ServerRecord>();

  constructor(options: Partial<OutlierDetectorOptions> = {}) {
    this.options = {...defaultOutlierDetectorOptions, ...options};
  }

  /**
   * Records the outcome of an attempt. Only failures of the server count:
   * no connection, a reset, a time-out, a status of 5xx.
   *
   * @param serverCount Number of servers that could have taken the work.
   */
  record(
    name: string,
    outcome: 'success' | 'failure',
    serverCount: number,
    now: number,
  ): void {
    const record = this.recordOf(name, now);
    record.requests += 1;
    if (outcome === 'success') this.recordSuccess(record, now);
    else this.recordFailure(record, serverCount, now);
  }

  isEjected(name: string, now: number): boolean {
    return (this.records.get(name)?.ejectedUntil ?? -Infinity) > now;
  }

  /** Drops what is known of a server, as when a new incarnation starts. */
  remove(name: string): void {
    this.records.delete(name);
  }

  private recordSuccess(record: ServerRecord, now: number): void {
    record.failuresInARow = 0;
    // A success of work sent before the ejection says nothing about recovery.
    if (record.ejectedUntil <= now) record.ejectionsInARow = 0;
  }

  private recordFailure(
    record: ServerRecord,
    serverCount: number,
    now: number,
  ): void {
    record.failures += 1;
    record.failuresInARow += 1;
    if (record.ejectedUntil > now || !this.isOutlier(record)) return;
    if (!this.mayEject(serverCount, now)) return;
    const {baseEjectionMilliseconds, maximumEjectionMilliseconds} =
      this.options;
    const duration = baseEjectionMilliseconds * 2 ** record.ejectionsInARow;
    record.ejectedUntil = now + Math.min(duration, maximumEjectionMilliseconds);
    record.ejectionsInARow += 1;
    record.requests = 0;
    record.failures = 0;
  }

  private isOutlier(record: ServerRecord): boolean {
    const {consecutiveFailures, minimumRequests, minimumSuccessRate} =
      this.options;
    // After an ejection the first failure ejects again: it has not recovered.
    const failuresNeeded = record.ejectionsInARow > 0 ? 1 : consecutiveFailures;
    if (record.failuresInARow >= failuresNeeded) return true;
    const successRate = 1 - record.failures / record.requests;
    return (
      record.requests >= minimumRequests && successRate < minimumSuccessRate
    );
  }

  private mayEject(serverCount: number, now: number): boolean {
    let ejected = 0;
    for (const {ejectedUntil} of this.records.values()) {
      if (ejectedUntil > now) ejected += 1;
    }
    // Of a few servers one may go, so that two don't have to share a failure.
    const share = serverCount * this.options.maximumEjectedShare;
    return ejected + 1 <= Math.max(share, Math.min(1, serverCount - 1));
  }

  private recordOf(name: string, now: number): ServerRecord {
    let record = this.records.get(name);
    if (!record) {
      record = {
        failuresInARow: 0,
        windowStart: now,
        requests: 0,
        failures: 0,
        ejectionsInARow: 0,
        ejectedUntil: -Infinity,
      };
      this.records.set(name, record);
    }
    if (now - record.windowStart >= this.options.windowMilliseconds) {
      record.windowStart = now;
      record.requests = 0;
      record.failures = 0;
    }
    return record;
  }
}
