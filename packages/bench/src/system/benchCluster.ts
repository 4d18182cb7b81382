/**
 * @fileoverview Starts a cluster with one customer for the system benchmarks.
 */
import {createHash, randomUUID} from 'node:crypto';

import {Cluster, type ClusterOptions} from '@dogwoodtrestle/testkit';
import {request} from 'undici';

/** Bearer key of the benchmark's customer. */
export const callerKey = 'bench-caller-key';

/** Model that the stand-in servers serve. */
export const model = 'bench-model';

const customer = 'bench';

/** Large enough that no benchmark exhausts it. */
const prepaidMicros = 1_000_000_000_000;

const timeoutMilliseconds = 20_000;
const pollMilliseconds = 50;

/** Cluster and model servers of a benchmark. */
export interface BenchClusterOptions extends Partial<ClusterOptions> {
  /** Number of model servers. */
  models?: number;
  /** Concurrent requests of one model server. */
  capacity?: number;
  tokenDelayMilliseconds?: number;
}

/** Starts daemons and model servers, and applies the customer's contract. */
export async function startBenchCluster(
  options: BenchClusterOptions = {},
): Promise<Cluster> {
  const {
    models = 1,
    capacity = 1000,
    tokenDelayMilliseconds = 0,
    ...rest
  } = options;
  const cluster = await Cluster.create(rest);
  try {
    await cluster.startAll();
    for (let number = 1; number <= models; number++) {
      await cluster.startStandIn({
        kind: 'model',
        name: `model-${number}`,
        model,
        capacity,
        tokenDelayMilliseconds,
      });
    }
    await applyContract(cluster, 0);
    await waitForBackends(cluster, models);
    return cluster;
  } catch (error) {
    await cluster.stop();
    throw error;
  }
}

/** Applies a new version of the customer's contract. */
export async function applyContract(
  cluster: Cluster,
  expectedVersion: number,
): Promise<{version: number; revision: number}> {
  const contract = {
    customer,
    budget: {prepaid: prepaidMicros + expectedVersion},
    models: [{name: model, inputPrice: 1, outputPrice: 2}],
    workspaces: [{name: 'main', keyHash: hashKey(callerKey)}],
  };
  const body = {
    changeId: randomUUID(),
    operator: 'bench',
    expectedVersion,
    contract,
  };
  return callOperator(cluster, 'r1', 'PUT', `/contracts/${customer}`, body);
}

/**
 * Calls the operator API of one daemon; retries status 503 (no leader) until a
 * timeout.
 *
 * @throws on any other error status, and after the timeout.
 */
export async function callOperator<T>(
  cluster: Cluster,
  daemon: string,
  method: 'GET' | 'PUT' | 'POST',
  path: string,
  body?: object,
): Promise<T> {
  const deadline = Date.now() + timeoutMilliseconds;
  for (;;) {
    const response = await request(
      `${cluster.daemon(daemon).url}/operator/v1${path}`,
      {
        method,
        headers: {
          authorization: `Bearer ${cluster.operatorKey}`,
          'content-type': 'application/json',
        },
        body: body === undefined ? undefined : JSON.stringify(body),
      },
    );
    const value = (await response.body.json()) as T;
    if (response.statusCode < 300) return value;
    if (response.statusCode !== 503 || Date.now() > deadline) {
      throw new Error(`${method} ${path}: ${response.statusCode}`);
    }
    await pause(pollMilliseconds);
  }
}

/** Resolves after a delay. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, milliseconds);
  });
}

/** Creates the body of a chat request. */
export function chatBody(maximumTokens: number, stream = false): object {
  return {
    model,
    stream,
    max_tokens: maximumTokens,
    messages: [
      {
        role: 'user',
        content: `Summarise the lab sheet of lot 17 in ${maximumTokens} words.`,
      },
    ],
  };
}

async function waitForBackends(cluster: Cluster, count: number): Promise<void> {
  const deadline = Date.now() + timeoutMilliseconds;
  for (const name of cluster.daemons.keys()) {
    for (;;) {
      const backends = await callOperator<unknown[]>(
        cluster,
        name,
        'GET',
        '/backends',
      );
      if (backends.length >= count) break;
      if (Date.now() > deadline) {
        throw new Error(`${name} did not list all backend servers in time`);
      }
      await pause(pollMilliseconds);
    }
  }
}

function hashKey(key: string): string {
  return `sha256:${createHash('sha256').update(key).digest('hex')}`;
}
