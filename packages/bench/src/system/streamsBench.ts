/**
 * @fileoverview Measures processor time per stream by response length, and
 * memory by the number of open streams, of a router without a ledger replica.
 */
import {setMaxListeners} from 'node:events';

import {type Cluster} from '@dogwoodtrestle/testkit';
import {Agent} from 'undici';

import {type Row} from '../util/table.js';
import {callerKey, chatBody, pause, startBenchCluster} from './benchCluster.js';
import {processorSeconds, residentMegabytes} from './processUsage.js';

/** Options of the measurements. */
export interface StreamsOptions {
  /** Response lengths in tokens, one row each. */
  tokens: readonly number[];
  /** Number of responses for each length. */
  responses: number;
  /** Number of concurrent responses. */
  concurrency: number;
  /** Numbers of open streams whose memory is measured. */
  openStreams: readonly number[];
}

/** Defaults of {@link StreamsOptions}. */
export const defaultStreamsOptions: StreamsOptions = {
  tokens: [8, 64, 256],
  responses: 600,
  concurrency: 32,
  openStreams: [0, 200, 400, 800],
};

const router = 'r4';
const openTokens = 4000;
const openTokenDelayMilliseconds = 200;
const settleMilliseconds = 2000;
const microsecondsPerSecond = 1_000_000;

/** Measures the processor time of responses by their length. */
export async function measureStreamCost(
  changes: Partial<StreamsOptions> = {},
): Promise<Row[]> {
  const options = {...defaultStreamsOptions, ...changes};
  const cluster = await startBenchCluster({routers: 4, models: 2});
  const agent = new Agent({connections: options.concurrency});
  try {
    const pid = cluster.daemon(router).process?.pid ?? 0;
    await runStreams(
      cluster,
      agent,
      {...options, responses: options.concurrency},
      8,
    );
    const rows: Row[] = [];
    for (const tokens of options.tokens) {
      const startedAt = performance.now();
      const before = await processorSeconds(pid);
      const received = await runStreams(cluster, agent, options, tokens);
      const usedSeconds = (await processorSeconds(pid)) - before;
      const seconds = (performance.now() - startedAt) / 1000;
      rows.push({
        'tokens in an answer': tokens,
        answers: options.responses,
        'chunks received': received,
        'router, µs an answer':
          (usedSeconds * microsecondsPerSecond) / options.responses,
        'answers a second': options.responses / seconds,
        'router, core %': (100 * usedSeconds) / seconds,
      });
    }
    return rows;
  } finally {
    await agent.destroy();
    await cluster.stop();
  }
}

/** Measures resident memory by the number of open streams. */
export async function measureStreamMemory(
  changes: Partial<StreamsOptions> = {},
): Promise<Row[]> {
  const options = {...defaultStreamsOptions, ...changes};
  const cluster = await startBenchCluster({
    routers: 4,
    models: 4,
    tokenDelayMilliseconds: openTokenDelayMilliseconds,
  });
  const agent = new Agent({connections: Math.max(...options.openStreams)});
  const abortController = new AbortController();
  setMaxListeners(0, abortController.signal); // one for each stream
  try {
    const pid = cluster.daemon(router).process?.pid ?? 0;
    const rows: Row[] = [];
    let open = 0;
    for (const targetCount of options.openStreams) {
      const newStreams = Array.from({length: targetCount - open});
      await Promise.all(
        newStreams.map(() =>
          openStream(cluster, agent, abortController.signal),
        ),
      );
      open = targetCount;
      await pause(settleMilliseconds);
      rows.push({
        'open streams': open,
        'router, resident MB': await residentMegabytes(pid),
      });
    }
    return rows;
  } finally {
    abortController.abort();
    await agent.destroy();
    await cluster.stop();
  }
}

async function runStreams(
  cluster: Cluster,
  agent: Agent,
  {responses, concurrency}: StreamsOptions,
  tokens: number,
): Promise<number> {
  let left = responses;
  let chunks = 0;
  const worker = async () => {
    while (left > 0) {
      left--;
      const response = await post(cluster, agent, tokens);
      const text = await response.body.text();
      if (!text.endsWith('data: [DONE]\n\n')) throw new Error(text.slice(-300));
      chunks += text.split('\n\n').length;
    }
  };
  await Promise.all(Array.from({length: concurrency}, worker));
  return chunks;
}

async function openStream(
  cluster: Cluster,
  agent: Agent,
  signal: AbortSignal,
): Promise<void> {
  const response = await post(cluster, agent, openTokens, signal);
  response.body.on('error', () => undefined);
  response.body.resume();
}

function post(
  cluster: Cluster,
  agent: Agent,
  tokens: number,
  signal?: AbortSignal,
) {
  return agent.request({
    origin: cluster.daemon(router).url,
    path: '/v1/chat/completions',
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${callerKey}`,
    },
    body: JSON.stringify(chatBody(tokens, true)),
    signal,
  });
}
