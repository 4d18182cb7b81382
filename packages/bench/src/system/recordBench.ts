/**
 * @fileoverview What the durable record adds to a request at given one-way
 * delays between the instances: the time of a whole request, with relays that
 * delay every link.
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

/** Defaults of {@link RecordOptions}: none, and those of the two users. */
export const defaultRecordOptions: RecordOptions = {
  delays: [0, 1, 1.5],
  requests: 200,
};

const microsecondsPerMillisecond = 1000;
const warmUpRequests = 30;
const outputTokens = 1;

/** Measures requests at a replica's router and at one without a replica. */
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
        const place = daemon === 'r1' ? 'with a replica' : 'without one';
        row[`router ${place}, median ms`] = milliseconds(histogram, 50);
        row[`router ${place}, p99 ms`] = milliseconds(histogram, 99);
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
    const answer = await agent.request({
      origin: url,
      path: '/v1/chat/completions',
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${callerKey}`,
      },
      body: JSON.stringify(chatBody(outputTokens)),
    });
    await answer.body.text();
    if (answer.statusCode !== 200) {
      throw new Error(`status ${answer.statusCode}`);
    }
    const elapsed = performance.now() - startedAt;
    if (number < warmUpRequests) continue;
    histogram.recordValue(Math.round(elapsed * microsecondsPerMillisecond));
  }
  return histogram;
}

function milliseconds(histogram: Histogram, percentile: number): number {
  return (
    histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond
  );
}
