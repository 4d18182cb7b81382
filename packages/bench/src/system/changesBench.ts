/**
 * @fileoverview Measures how long a contract change takes to become active on
 * all daemons.
 */
import {type Cluster} from '@dogwoodtrestle/testkit';
import {Agent} from 'undici';

import {type Row} from '../util/table.js';
import {
  applyContract,
  callerKey,
  callOperator,
  chatBody,
  pause,
  startBenchCluster,
} from './benchCluster.js';

/** Condition of the cluster during the changes. */
export type LoadCondition = 'quiet' | 'under load' | 'one router frozen';

/** Options of the measurement. */
export interface ChangesOptions {
  daemons: number;
  /** Number of changes in each condition. */
  changes: Record<LoadCondition, number>;
}

/** Defaults of {@link ChangesOptions}. */
export const defaultChangesOptions: ChangesOptions = {
  daemons: 8,
  changes: {quiet: 50, 'under load': 20, 'one router frozen': 20},
};

interface InstanceRevision {
  name: string;
  revision: number;
}

const pollMilliseconds = 20;
const loadConcurrency = 16;

/** Measures changes without load, under load and with one router paused. */
export async function measureChanges(
  changes: Partial<ChangesOptions> = {},
): Promise<Row[]> {
  const options = {...defaultChangesOptions, ...changes};
  const cluster = await startBenchCluster({routers: options.daemons});
  try {
    let version = 1;
    const rows: Row[] = [];
    const conditions: LoadCondition[] = [
      'quiet',
      'under load',
      'one router frozen',
    ];
    for (const condition of conditions) {
      const tearDown = await setUpCondition(
        cluster,
        condition,
        options.daemons,
      );
      const activeMilliseconds: number[] = [];
      const acceptMilliseconds: number[] = [];
      for (let change = 0; change < options.changes[condition]; change++) {
        const startedAt = performance.now();
        const {revision} = await applyContract(cluster, version);
        version++;
        acceptMilliseconds.push(performance.now() - startedAt);
        const pausedDaemon =
          condition === 'one router frozen' ? `r${options.daemons}` : undefined;
        await waitUntilActive(cluster, revision, pausedDaemon);
        activeMilliseconds.push(performance.now() - startedAt);
      }
      await tearDown();
      rows.push(rowOf(condition, acceptMilliseconds, activeMilliseconds));
    }
    return rows;
  } finally {
    await cluster.stop();
  }
}

/** Sets up a condition; the returned function reverts it. */
async function setUpCondition(
  cluster: Cluster,
  condition: LoadCondition,
  daemons: number,
): Promise<() => Promise<void>> {
  const last = `r${daemons}`;
  switch (condition) {
    case 'quiet':
      return async () => undefined;
    case 'under load':
      return startLoad(cluster);
    case 'one router frozen':
      cluster.daemon(last).process?.signal('SIGSTOP');
      await pause(5000); // the others have detected it by then
      return async () => cluster.daemon(last).process?.signal('SIGCONT');
  }
}

function startLoad(cluster: Cluster): () => Promise<void> {
  const agent = new Agent({connections: loadConcurrency});
  let isRunning = true;
  const worker = async () => {
    while (isRunning) {
      const response = await agent.request({
        origin: cluster.daemon('r2').url,
        path: '/v1/chat/completions',
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          authorization: `Bearer ${callerKey}`,
        },
        body: JSON.stringify(chatBody(8)),
      });
      await response.body.text();
    }
  };
  const workers = Array.from({length: loadConcurrency}, worker);
  return async () => {
    isRunning = false;
    await Promise.allSettled(workers);
    await agent.destroy();
  };
}

/** Waits until every daemon that is not paused reports the revision. */
async function waitUntilActive(
  cluster: Cluster,
  revision: number,
  pausedDaemon: string | undefined,
): Promise<void> {
  const names = [...cluster.daemons.keys()].filter(
    name => name !== pausedDaemon,
  );
  await Promise.all(
    names.map(name => waitForRevision(cluster, name, revision)),
  );
}

async function waitForRevision(
  cluster: Cluster,
  daemon: string,
  revision: number,
): Promise<void> {
  for (;;) {
    const instances = await callOperator<InstanceRevision[]>(
      cluster,
      daemon,
      'GET',
      '/instances',
    );
    const ownInstance = instances.find(({name}) => name === daemon);
    if (ownInstance !== undefined && ownInstance.revision >= revision) return;
    await pause(pollMilliseconds);
  }
}

function rowOf(
  condition: LoadCondition,
  acceptMilliseconds: number[],
  activeMilliseconds: number[],
): Row {
  return {
    condition,
    changes: activeMilliseconds.length,
    'accepted, median ms': medianOf(acceptMilliseconds),
    'in force everywhere, median ms': medianOf(activeMilliseconds),
    'in force everywhere, worst ms': Math.max(...activeMilliseconds),
  };
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
