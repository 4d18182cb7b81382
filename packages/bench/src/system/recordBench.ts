/**
 * @fileoverview Measures request latency at given one-way delays between
 * instances, which shows the cost of the durable record. Relays delay every
 * link.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent} from 'undici';

import {type Row} from '../util/table.js';
import {callerKey, chatBody, startBenchCluster} from './benchCluster.js';

/** Options of the measurement. */
export interface RecordOptions {
  /** One-way delays between instances, in milliseconds. */
  delays: readonly number[];
  requests: number;
}

/** Defaults of {@link RecordOptions}: no delay, and those of the two users. */
export const defaultRecordOptions: RecordOptions = {
  delays: [0, 1, 1.5],
  requests: 200,
};

const microsecondsPerMillisecond = 1000;
const warmUpRequests = 30;
const outputTokens = 1;

/** Measures requests to a router with and to one without a local replica. */
export async function measureRecords(
  changes: Partial<RecordOptions> = {},
): Promise<Row[]> {
  const options = {...defaultRecordOptions, ...changes};
  const cluster = await startBenchCluster({routers: 4, relays: true});
  const agent = new Agent({connections: 1});
  const names = [...cluster.daemons.keys()];
  try {
    const rows: Row[] = [];
    for (const delayMilliseconds of options.delays) {
      cluster.setLinks(names, names, {delayMilliseconds});
      const row: Row = {'one-way delay, ms': delayMilliseconds};
      for (const daemon of ['r1', 'r4']) {
        const {url} = cluster.daemon(daemon);
        const histogram = await timeRequests(agent, url, options.requests);
        const location = daemon === 'r1' ? 'with a replica' : 'without one';
        row[`router ${location}, median ms`] = percentileMilliseconds(
          histogram,
          50,
        );
        row[`router ${location}, p99 ms`] = percentileMilliseconds(
          histogram,
          99,
        );
      }
      rows.push(row);
    }
    return rows;
  } finally {
    await agent.destroy();
    await cluster.stop();
  }
}

async function timeRequests(
  agent: Agent,
  url: string,
  requests: number,
): Promise<Histogram> {
  const histogram = build();
  for (let number = 0; number < requests + warmUpRequests; number++) {
    const startedAt = performance.now();
    const response = await agent.request({
      origin: url,
      path: '/v1/chat/completions',
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${callerKey}`,
      },
      body: JSON.stringify(chatBody(outputTokens)),
    });
    await response.body.text();
    if (response.statusCode !== 200) {
      throw new Error(`status ${response.statusCode}`);
    }
    const elapsed = performance.now() - startedAt;
    if (number < warmUpRequests) continue;
    histogram.recordValue(Math.round(elapsed * microsecondsPerMillisecond));
  }
  return histogram;
}

function percentileMilliseconds(
  histogram: Histogram,
  percentile: number,
): number {
  return (
    histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond
  );
}
