/**
 * @fileoverview A cluster with one customer, as the system benches need it.
 */
import {createHash, randomUUID} from 'node:crypto';

import {Cluster, type ClusterOptions} from '@dogwoodtrestle/testkit';
import {request} from 'undici';

/** Bearer key of the bench's customer. */
export const callerKey = 'bench-caller-key';

/** Model that the stand-ins offer. */
export const model = 'bench-model';

const customer = 'bench';

/** Prepaid amount in micros; no bench comes near it. */
const prepaid = 1_000_000_000_000;

const waitMilliseconds = 20_000;
const pollMilliseconds = 50;

/** What a bench starts. */
export interface BenchClusterOptions extends Partial<ClusterOptions> {
  models?: number;
  /** Requests that one model server runs at once. */
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
    budget: {prepaid: prepaid + expectedVersion},
    models: [{name: model, inputPrice: 1, outputPrice: 2}],
    workspaces: [{name: 'main', keyHash: hashOf(callerKey)}],
  };
  const body = {
    changeId: randomUUID(),
    operator: 'bench',
    expectedVersion,
    contract,
  };
  return callOperator(cluster, 'r1', 'PUT', `/contracts/${customer}`, body);
}

/** Makes an operator call to one daemon; waits while there is no leader. */
export async function callOperator<T>(
  cluster: Cluster,
  daemon: string,
  method: 'GET' | 'PUT' | 'POST',
  path: string,
  body?: object,
): Promise<T> {
  const deadline = Date.now() + waitMilliseconds;
  for (;;) {
    const answer = await request(
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
    const value = (await answer.body.json()) as T;
    if (answer.statusCode < 300) return value;
    if (answer.statusCode !== 503 || Date.now() > deadline) {
      throw new Error(`${method} ${path}: ${answer.statusCode}`);
    }
    await pause(pollMilliseconds);
  }
}

/** Resolves after a time. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, milliseconds);
  });
}

/** Body of a chat request. */
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
  const deadline = Date.now() + waitMilliseconds;
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
        throw new Error(`${name} misses backend servers`);
      }
      await pause(pollMilliseconds);
    }
  }
}

function hashOf(key: string): string {
  return `sha256:${createHash('sha256').update(key).digest('hex')}`;
}
