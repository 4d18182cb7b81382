/** @fileoverview Sums that the report's charts show. */
import {type Bill, type RequestOutcome} from '@dogwoodtrestle/schema';

import {type SpanRecord} from './spans.js';

/** Delays of one hop, in milliseconds. */
export interface HopDelays {
  hop: string;
  count: number;
  p50: number;
  p95: number;
  p99: number;
}

/** A customer's spend over time: `[wall time in ms, micros so far]`. */
export interface SpendCurve {
  customer: string;
  points: Array<[number, number]>;
}

const rootHop = 'caller to router';
const firstRefusedStatus = 400;

/** Cumulative spend of each customer. */
export function spendCurves(bills: readonly Bill[]): SpendCurve[] {
  const curves = new Map<string, SpendCurve>();
  for (const bill of bills.toSorted((a, b) => a.settledAt - b.settledAt)) {
    const {customer} = bill;
    const curve = curves.get(customer) ?? {customer, points: []};
    const before = curve.points.at(-1)?.[1] ?? 0;
    curve.points.push([bill.settledAt, before + bill.cost]);
    curves.set(customer, curve);
  }
  return [...curves.values()];
}

/** Number of bills by outcome. */
export function outcomeCounts(
  bills: readonly Bill[],
): Map<RequestOutcome, number> {
  const counts = new Map<RequestOutcome, number>();
  for (const {outcome} of bills) {
    counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  }
  return counts;
}

/** Number of refused requests by HTTP status, and by code where spans carry it. */
export function refusalCounts(
  spans: readonly SpanRecord[],
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const {name, attributes} of spans) {
    const status = Number(attributes['http.response.status_code'] ?? 0);
    if (name !== rootHop || status < firstRefusedStatus) continue;
    const code = attributes['refusal.code'];
    const cause = typeof code === 'string' ? code : `HTTP ${status}`;
    counts.set(cause, (counts.get(cause) ?? 0) + 1);
  }
  return counts;
}

/** Percentiles of the delays of each hop. */
export function hopDelays(spans: readonly SpanRecord[]): HopDelays[] {
  const byHop = new Map<string, number[]>();
  for (const {name, durationMs} of spans) {
    byHop.set(name, [...(byHop.get(name) ?? []), durationMs]);
  }
  return [...byHop].map(([hop, durations]) => {
    const sorted = durations.toSorted((a, b) => a - b);
    return {
      hop,
      count: sorted.length,
      p50: percentile(sorted, 0.5),
      p95: percentile(sorted, 0.95),
      p99: percentile(sorted, 0.99),
    };
  });
}

function percentile(sorted: readonly number[], part: number): number {
  const index = Math.ceil(sorted.length * part) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}
