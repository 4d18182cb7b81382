/** @fileoverview Measurements of a run: delays, goodput, hits, fairness. */
import {build, type Histogram} from 'hdr-histogram-js';
import {type Priority} from '@dogwoodtrestle/routing';

import {type GeneratedRequest} from './workload.js';

const microsecondsPerMillisecond = 1_000;
const longestDelayMicroseconds = 600_000_000;

/** Histogram of delays in milliseconds. */
export class DelayHistogram {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: longestDelayMicroseconds,
    numberOfSignificantValueDigits: 3,
  });

  record(milliseconds: number): void {
    const value = Math.round(milliseconds * microsecondsPerMillisecond);
    this.histogram.recordValue(Math.min(value, longestDelayMicroseconds));
  }

  /** Returns a percentile in milliseconds; 0 if nothing was recorded. */
  percentile(percent: number): number {
    if (this.histogram.totalCount === 0) return 0;
    const value = this.histogram.getValueAtPercentile(percent);
    return value / microsecondsPerMillisecond;
  }
}

/** Outcome of one request over all tries of its caller. */
export interface RequestRecord {
  request: GeneratedRequest;
  sentAt: number;
  tries: number;
  /** Time since the first try; undefined if no token came. */
  firstTokenMilliseconds?: number;
  /** Time of the complete response, within the deadline of its try. */
  completedAt?: number;
}

/** Everything that one run records. */
export class Measurements {
  readonly records: RequestRecord[] = [];
  readonly betweenTokens = new DelayHistogram();
  /** Refusals by cause, counting each try. */
  readonly refusals = new Map<string, number>();
  attempts = 0;
  localAttempts = 0;
  promptTokens = 0;
  cachedTokens = 0;

  recordRefusal(cause: string): void {
    this.refusals.set(cause, (this.refusals.get(cause) ?? 0) + 1);
  }

  /** Returns the requests sent in a time span in milliseconds. */
  sentBetween(from: number, to: number): RequestRecord[] {
    return this.records.filter(({sentAt}) => sentAt >= from && sentAt < to);
  }

  /** Complete responses in time, per second of the time span. */
  goodput(from: number, to: number): number {
    return (this.completedBetween(from, to).length * 1_000) / (to - from);
  }

  /**
   * Output tokens of complete responses in time, per second. Unlike the number
   * of responses, this cannot be raised by preferring short ones.
   */
  goodputTokens(from: number, to: number): number {
    const tokens = this.completedBetween(from, to).reduce(
      (sum, {request}) => sum + request.outputTokens,
      0,
    );
    return (tokens * 1_000) / (to - from);
  }

  private completedBetween(from: number, to: number): RequestRecord[] {
    return this.records.filter(
      ({completedAt = -1}) => completedAt >= from && completedAt < to,
    );
  }

  cacheHitShare(): number {
    return this.cachedTokens / Math.max(1, this.promptTokens);
  }

  refusalText(): string {
    const causes = [...this.refusals].map(([cause, n]) => `${cause} ${n}`);
    return causes.join(', ') || 'none';
  }
}

/** Times to first token; a request without one counts with its deadline. */
export function firstTokenDelays(
  records: readonly RequestRecord[],
  priority?: Priority,
): DelayHistogram {
  const delays = new DelayHistogram();
  for (const {request, firstTokenMilliseconds} of records) {
    if (priority && request.kind.priority !== priority) continue;
    delays.record(firstTokenMilliseconds ?? request.kind.deadlineMilliseconds);
  }
  return delays;
}

/**
 * Jain's fairness index, from 1 / n to 1, over the ratio of each customer's
 * served requests to its max-min fair share.
 */
export function fairnessIndex(records: readonly RequestRecord[]): number {
  const asked = new Map<string, number>();
  const served = new Map<string, number>();
  for (const {request, completedAt} of records) {
    const {customer} = request;
    asked.set(customer, (asked.get(customer) ?? 0) + 1);
    if (completedAt === undefined) continue;
    served.set(customer, (served.get(customer) ?? 0) + 1);
  }
  const total = [...served.values()].reduce((sum, each) => sum + each, 0);
  const fair = fairShares(asked, total);
  const ratios = [...fair].map(([name, share]) =>
    Math.min(1, (served.get(name) ?? 0) / Math.max(1, share)),
  );
  const sum = ratios.reduce((a, b) => a + b, 0);
  const squares = ratios.reduce((a, b) => a + b * b, 0);
  return squares === 0 ? 1 : (sum * sum) / (ratios.length * squares);
}

/** Divides a total among demands by max-min fairness. */
function fairShares(
  demands: ReadonlyMap<string, number>,
  total: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  const ascending = [...demands].sort(([, a], [, b]) => a - b);
  let left = total;
  ascending.forEach(([name, demand], index) => {
    const share = Math.min(demand, left / (ascending.length - index));
    shares.set(name, share);
    left -= share;
  });
  return shares;
}
