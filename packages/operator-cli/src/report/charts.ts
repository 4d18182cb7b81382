/** @fileoverview Renders the charts of the report as SVG. */
import {type BudgetView} from '@dogwoodtrestle/schema';
import {type EChartsOption, init} from 'echarts';

import {type HopDelays, type SpendCurve} from './summaries.js';

const width = 900;
const microsPerUnit = 1_000_000;
const budgetAmounts = ['billed', 'reserved', 'granted', 'available'] as const;

/** Renders the parts of each customer's budget as stacked bars. */
export function budgetChart(budgets: readonly BudgetView[]): string {
  return renderSvg({
    legend: {},
    xAxis: {type: 'value', name: 'units of the currency'},
    yAxis: {type: 'category', data: budgets.map(each => each.customer)},
    series: budgetAmounts.map(part => ({
      name: part,
      type: 'bar',
      stack: 'budget',
      data: budgets.map(each => Math.max(0, each[part]) / microsPerUnit),
    })),
  });
}

/** Renders the cumulative spend of each customer as lines. */
export function spendChart(curves: readonly SpendCurve[]): string {
  return renderSvg({
    legend: {},
    xAxis: {type: 'time'},
    yAxis: {type: 'value', name: 'units of the currency'},
    series: curves.map(({customer, points}) => ({
      name: customer,
      type: 'line',
      step: 'end',
      showSymbol: false,
      data: points.map(([time, micros]) => [time, micros / microsPerUnit]),
    })),
  });
}

/** Renders counts by name as bars. */
export function countChart(counts: ReadonlyMap<string, number>): string {
  return renderSvg({
    xAxis: {type: 'value', name: 'requests'},
    yAxis: {type: 'category', data: [...counts.keys()]},
    series: [{type: 'bar', data: [...counts.values()]}],
  });
}

/** Renders the delay percentiles of each hop as bars. */
export function delayChart(delays: readonly HopDelays[]): string {
  return renderSvg({
    legend: {},
    xAxis: {type: 'log', name: 'ms'},
    yAxis: {type: 'category', data: delays.map(each => each.hop)},
    series: (['p50', 'p95', 'p99'] as const).map(name => ({
      name,
      type: 'bar',
      data: delays.map(each => each[name]),
    })),
  });
}

function renderSvg(option: EChartsOption): string {
  const chart = init(null, null, {
    renderer: 'svg',
    ssr: true,
    width,
    height: 320,
  });
  chart.setOption({
    animation: false,
    grid: {containLabel: true, right: 120},
    ...option,
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
