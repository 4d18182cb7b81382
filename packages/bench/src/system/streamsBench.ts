/**
 * @fileoverview Processor time and memory that streams cost a router that
 * holds no ledger replica: by tokens in an answer, and by open streams.
 */
import {setMaxListeners} from 'node:events';

import {type Cluster} from '@dogwoodtrestle/testkit';
import {Agent} from 'undici';

import {type Row} from '../util/table.js';
import {callerKey, chatBody, pause, startBenchCluster} from './benchCluster.js';
import {processorSeconds, residentMegabytes} from './processUsage.js';

/** Sizes that are measured. */
export interface StreamsOptions {
  /** Tokens in an answer. */
  tokens: readonly number[];
  /** Answers for each size. */
  responses: number;
  /** Answers in progress at once. */
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

/** Measures the cost of answers by their length. */
export async function measureStreamCost(
  changes: Partial<StreamsOptions> = {},
): Promise<Row[]> {
  const options = {...defaultStreamsOptions, ...changes};
  const cluster = await startBenchCluster({routers: 4, models: 2});
  const agent = new Agent({connections: options.concurrency});
  try {
    const pid = cluster.daemon(router).process?.pid ?? 0;
    await answerMany(
      cluster,
      agent,
      {...options, responses: options.concurrency},
      8,
    );
    const rows: Row[] = [];
    for (const tokens of options.tokens) {
      const startedAt = performance.now();
      const before = await processorSeconds(pid);
      const received = await answerMany(cluster, agent, options, tokens);
      const used = (await processorSeconds(pid)) - before;
      const seconds = (performance.now() - startedAt) / 1000;
      rows.push({
        'tokens in an answer': tokens,
        answers: options.responses,
        'chunks received': received,
        'router, µs an answer':
          (used * microsecondsPerSecond) / options.responses,
        'answers a second': options.responses / seconds,
        'router, core %': (100 * used) / seconds,
      });
    }
    return rows;
  } finally {
    await agent.destroy();
    await cluster.stop();
  }
}

/** Measures the memory of open streams. */
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
  const closed = new AbortController();
  setMaxListeners(0, closed.signal); // one for each stream
  try {
    const pid = cluster.daemon(router).process?.pid ?? 0;
    const rows: Row[] = [];
    let open = 0;
    for (const wanted of options.openStreams) {
      const missing = Array.from({length: wanted - open});
      await Promise.all(
        missing.map(() => openStream(cluster, agent, closed.signal)),
      );
      open = wanted;
      await pause(settleMilliseconds);
      rows.push({
        'open streams': open,
        'router, resident MB': await residentMegabytes(pid),
      });
    }
    return rows;
  } finally {
    closed.abort();
    await agent.destroy();
    await cluster.stop();
  }
}

async function answerMany(
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
      const answer = await post(cluster, agent, tokens);
      const text = await answer.body.text();
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
  const answer = await post(cluster, agent, openTokens, signal);
  answer.body.on('error', () => undefined);
  answer.body.resume();
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
