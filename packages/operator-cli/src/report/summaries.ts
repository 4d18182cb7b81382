/** @fileoverview Aggregates bills and spans for the charts of the report. */
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

/** A customer's spend: `[milliseconds since the epoch, cumulative micros]`. */
export interface SpendCurve {
  customer: string;
  points: Array<[number, number]>;
}

const rootHop = 'caller to router';
const firstRefusedStatus = 400;

/** Returns the cumulative spend of each customer. */
export function spendCurves(bills: readonly Bill[]): SpendCurve[] {
  const curves = new Map<string, SpendCurve>();
  for (const bill of bills.toSorted((a, b) => a.settledAt - b.settledAt)) {
    const {customer} = bill;
    const curve = curves.get(customer) ?? {customer, points: []};
    const previousTotal = curve.points.at(-1)?.[1] ?? 0;
    curve.points.push([bill.settledAt, previousTotal + bill.cost]);
    curves.set(customer, curve);
  }
  return [...curves.values()];
}

/** Counts bills by outcome. */
export function outcomeCounts(
  bills: readonly Bill[],
): Map<RequestOutcome, number> {
  const counts = new Map<RequestOutcome, number>();
  for (const {outcome} of bills) {
    counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  }
  return counts;
}

/** Counts refused requests by refusal code, or by HTTP status without a code. */
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

/** Returns the delay percentiles of each hop. */
export function hopDelays(spans: readonly SpanRecord[]): HopDelays[] {
  const durationsByHop = new Map<string, number[]>();
  for (const {name, durationMs} of spans) {
    durationsByHop.set(name, [...(durationsByHop.get(name) ?? []), durationMs]);
  }
  return [...durationsByHop].map(([hop, durations]) => {
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

function percentile(sorted: readonly number[], fraction: number): number {
  const index = Math.ceil(sorted.length * fraction) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}
