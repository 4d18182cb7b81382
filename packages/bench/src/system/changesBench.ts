/**
 * @fileoverview How long an accepted change takes to be in force everywhere.
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

/** What else goes on. */
export type LoadCondition = 'quiet' | 'under load' | 'one router frozen';

/** Options of the measurement. */
export interface ChangesOptions {
  daemons: number;
  /** Changes in each condition. */
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

/** Measures changes in quiet, under load and with a router frozen. */
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
      const undo = await prepare(cluster, condition, options.daemons);
      const times: number[] = [];
      const accepts: number[] = [];
      for (let change = 0; change < options.changes[condition]; change++) {
        const startedAt = performance.now();
        const {revision} = await applyContract(cluster, version);
        version++;
        accepts.push(performance.now() - startedAt);
        const frozen =
          condition === 'one router frozen' ? `r${options.daemons}` : undefined;
        await inForce(cluster, revision, frozen);
        times.push(performance.now() - startedAt);
      }
      await undo();
      rows.push(rowOf(condition, accepts, times));
    }
    return rows;
  } finally {
    await cluster.stop();
  }
}

/** Sets a condition up; the returned function undoes it. */
async function prepare(
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
      await pause(5000); // it is silent for the others by then
      return async () => cluster.daemon(last).process?.signal('SIGCONT');
  }
}

function startLoad(cluster: Cluster): () => Promise<void> {
  const agent = new Agent({connections: loadConcurrency});
  let isRunning = true;
  const worker = async () => {
    while (isRunning) {
      const answer = await agent.request({
        origin: cluster.daemon('r2').url,
        path: '/v1/chat/completions',
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          authorization: `Bearer ${callerKey}`,
        },
        body: JSON.stringify(chatBody(8)),
      });
      await answer.body.text();
    }
  };
  const workers = Array.from({length: loadConcurrency}, worker);
  return async () => {
    isRunning = false;
    await Promise.allSettled(workers);
    await agent.destroy();
  };
}

/** Waits until every daemon that answers shows the revision as its own. */
async function inForce(
  cluster: Cluster,
  revision: number,
  frozen: string | undefined,
): Promise<void> {
  const names = [...cluster.daemons.keys()].filter(name => name !== frozen);
  await Promise.all(names.map(name => shows(cluster, name, revision)));
}

async function shows(
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
    const own = instances.find(({name}) => name === daemon);
    if (own !== undefined && own.revision >= revision) return;
    await pause(pollMilliseconds);
  }
}

function rowOf(
  condition: LoadCondition,
  accepts: number[],
  times: number[],
): Row {
  return {
    condition,
    changes: times.length,
    'accepted, median ms': medianOf(accepts),
    'in force everywhere, median ms': medianOf(times),
    'in force everywhere, worst ms': Math.max(...times),
  };
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
