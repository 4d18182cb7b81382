/** @fileoverview Renders the report as one HTML page without external resources. */
import {type Bill, type BudgetView} from '@dogwoodtrestle/schema';

import {formatAmount, formatTime} from '../output/units.js';
import {budgetChart, countChart, delayChart, spendChart} from './charts.js';
import {type SpanRecord} from './spans.js';
import {
  hopDelays,
  outcomeCounts,
  refusalCounts,
  spendCurves,
} from './summaries.js';

/** Data of a report. */
export interface ReportData {
  /** Milliseconds since the epoch. */
  createdAt: number;
  budgets: BudgetView[];
  bills: Bill[];
  spans: SpanRecord[];
}

const style = `body {font: 15px/1.5 sans-serif; max-width: 960px; margin: 2em auto}
table {border-collapse: collapse} td, th {padding: 2px 12px; text-align: right}
td:first-child, th:first-child {text-align: left}`;

/** Renders a self-contained HTML page. */
export function renderReport(data: ReportData): string {
  const {createdAt, budgets, bills, spans} = data;
  const sections = [
    section('Spend against budget', budgetChart(budgets), budgetTable(budgets)),
    section('Spend over time', spendChart(spendCurves(bills))),
    section('Billed requests by outcome', countChart(outcomeCounts(bills))),
    section('Refused requests by cause', ...refusalContents(spans)),
    section('Delays by hop', ...delayContents(spans)),
  ];
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>dogwoodtrestle report</title>
<style>${style}</style></head>
<body>
<h1>Prepaid budgets</h1>
<p>Made at ${formatTime(createdAt)} from ${budgets.length} budgets, ${bills.length} bills and ${spans.length} spans.</p>
${sections.join('\n')}
</body>
</html>
`;
}

function section(title: string, ...contents: string[]): string {
  return `<h2>${escapeHtml(title)}</h2>\n${contents.join('\n')}`;
}

function refusalContents(spans: readonly SpanRecord[]): string[] {
  if (spans.length === 0) return [noSpansNotice];
  const counts = refusalCounts(spans);
  return counts.size === 0 ? ['<p>None.</p>'] : [countChart(counts)];
}

function delayContents(spans: readonly SpanRecord[]): string[] {
  if (spans.length === 0) return [noSpansNotice];
  const delays = hopDelays(spans);
  const rows = delays.map(({hop, count, p50, p95, p99}) => [
    hop,
    String(count),
    ...[p50, p95, p99].map(value => value.toFixed(2)),
  ]);
  const headings = ['hop', 'spans', 'p50 ms', 'p95 ms', 'p99 ms'];
  return [delayChart(delays), table(headings, rows)];
}

const noSpansNotice =
  '<p>Not shown: give the span files of the daemons with <code>--spans</code>.</p>';

function budgetTable(budgets: readonly BudgetView[]): string {
  return table(
    ['customer', 'prepaid', 'billed', 'reserved', 'granted', 'available', ''],
    budgets.map(each => [
      each.customer,
      ...[
        each.prepaid,
        each.billed,
        each.reserved,
        each.granted,
        each.available,
      ].map(formatAmount),
      each.currency,
    ]),
  );
}

function table(headings: string[], rows: string[][]): string {
  const cells = (tag: string, values: string[]) =>
    `<tr>${values.map(each => `<${tag}>${escapeHtml(each)}</${tag}>`).join('')}</tr>`;
  return `<table>${cells('th', headings)}${rows.map(row => cells('td', row)).join('')}</table>`;
}

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
