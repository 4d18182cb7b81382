/**
 * @fileoverview Measures the latency that a router adds and the throughput of
 * one daemon, compared with direct calls to the stand-in server.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent} from 'undici';

import {type Row} from '../util/table.js';
import {callerKey, chatBody, startBenchCluster} from './benchCluster.js';

/** Options of the measurement. */
export interface OverheadOptions {
  /** Number of sequential requests to each target. */
  requests: number;
  /** Duration of the load phase in milliseconds. */
  loadMilliseconds: number;
  /** Requests in flight under load. */
  concurrency: number;
  outputTokens: number;
}

/** Defaults of {@link OverheadOptions}. */
export const defaultOverheadOptions: OverheadOptions = {
  requests: 400,
  loadMilliseconds: 5000,
  concurrency: 64,
  outputTokens: 8,
};

interface Target {
  name: string;
  url: string;
  headers: Record<string, string>;
}

const microsecondsPerMillisecond = 1000;
const warmUpRequests = 50;

/** Measures the router and the directly called stand-in in one run. */
export async function measureOverhead(
  changes: Partial<OverheadOptions> = {},
): Promise<Row[]> {
  const options = {...defaultOverheadOptions, ...changes};
  const cluster = await startBenchCluster();
  const agent = new Agent({connections: options.concurrency});
  try {
    const [standIn] = cluster.standIns.values();
    const direct: Target = {
      name: 'stand-in, direct',
      url: standIn?.url ?? '',
      headers: {'x-attempt-id': 'bench'},
    };
    const router: Target = {
      name: 'through one router',
      url: cluster.daemon('r1').url,
      headers: {authorization: `Bearer ${callerKey}`},
    };
    const unloaded = await interleave(agent, [direct, router], options);
    const rows: Row[] = [];
    for (const target of [direct, router]) {
      const histogram = unloaded.get(target.name);
      const load = await measureUnderLoad(agent, target, options);
      rows.push({
        path: target.name,
        'median, ms': percentile(histogram, 50),
        'p99, ms': percentile(histogram, 99),
        'requests a second': load.perSecond,
        'p99 under load, ms': percentile(load.histogram, 99),
        failed: load.failed,
      });
    }
    rows.push(createRatioRow(rows));
    return rows;
  } finally {
    await agent.destroy();
    await cluster.stop();
  }
}

/** Alternates between the targets, so that both see the same machine state. */
async function interleave(
  agent: Agent,
  targets: readonly Target[],
  {requests, outputTokens}: OverheadOptions,
): Promise<Map<string, Histogram>> {
  const histograms = new Map(targets.map(({name}) => [name, build()]));
  for (let number = 0; number < requests + warmUpRequests; number++) {
    for (const target of targets) {
      const milliseconds = await timeRequest(agent, target, outputTokens);
      if (number < warmUpRequests) continue;
      record(histograms.get(target.name), milliseconds);
    }
  }
  return histograms;
}

async function measureUnderLoad(
  agent: Agent,
  target: Target,
  {loadMilliseconds, concurrency, outputTokens}: OverheadOptions,
): Promise<{perSecond: number; histogram: Histogram; failed: number}> {
  const histogram = build();
  const startedAt = performance.now();
  let finished = 0;
  let failed = 0;
  const worker = async () => {
    while (performance.now() - startedAt < loadMilliseconds) {
      try {
        record(histogram, await timeRequest(agent, target, outputTokens));
        finished++;
      } catch {
        failed++;
      }
    }
  };
  await Promise.all(Array.from({length: concurrency}, worker));
  const seconds = (performance.now() - startedAt) / 1000;
  return {perSecond: Math.round(finished / seconds), histogram, failed};
}

async function timeRequest(
  agent: Agent,
  {url, headers}: Target,
  outputTokens: number,
): Promise<number> {
  const startedAt = performance.now();
  const result = await agent.request({
    origin: url,
    path: '/v1/chat/completions',
    method: 'POST',
    headers: {'content-type': 'application/json', ...headers},
    body: JSON.stringify(chatBody(outputTokens)),
  });
  await result.body.text();
  if (result.statusCode !== 200) throw new Error(`status ${result.statusCode}`);
  return performance.now() - startedAt;
}

function record(histogram: Histogram | undefined, milliseconds: number): void {
  const microseconds = Math.round(milliseconds * microsecondsPerMillisecond);
  histogram?.recordValue(Math.max(1, microseconds));
}

function percentile(histogram: Histogram | undefined, percent: number): number {
  const microseconds = histogram?.getValueAtPercentile(percent) ?? 0;
  return microseconds / microsecondsPerMillisecond;
}

function createRatioRow([direct, router]: readonly Row[]): Row {
  const ratio: Row = {path: 'router / direct'};
  for (const column of Object.keys(direct ?? {}).slice(1, -1)) {
    ratio[column] = Number(router?.[column]) / Number(direct?.[column]);
  }
  return {...ratio, failed: ''};
}
