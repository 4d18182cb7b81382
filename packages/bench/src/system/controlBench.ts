/**
 * @fileoverview Measures the control plane cost per daemon as the numbers of
 * daemons and backend servers grow. No requests are served meanwhile.
 */
import {type Cluster} from '@dogwoodtrestle/testkit';

import {type Row} from '../util/table.js';
import {callOperator, pause, startBenchCluster} from './benchCluster.js';
import {MetricsSink} from './metricsSink.js';
import {processorSeconds, residentMegabytes} from './processUsage.js';

/** One size of the cluster. */
export interface ControlSize {
  daemons: number;
  backends: number;
}

/** Default sizes: three of each number while the other stays the same. */
export const defaultControlSizes: readonly ControlSize[] = [
  {daemons: 4, backends: 8},
  {daemons: 8, backends: 8},
  {daemons: 16, backends: 8},
  {daemons: 8, backends: 16},
  {daemons: 8, backends: 32},
];

const warmUpMilliseconds = 4000;
const measureMilliseconds = 8000;

/** Measures the control plane cost at several cluster sizes. */
export async function measureControl(
  sizes: readonly ControlSize[] = defaultControlSizes,
): Promise<Row[]> {
  const rows: Row[] = [];
  for (const size of sizes) rows.push(await measureSize(size));
  return rows;
}

async function measureSize({daemons, backends}: ControlSize): Promise<Row> {
  const sink = new MetricsSink();
  const statsdPort = await sink.start();
  const cluster = await startBenchCluster({
    routers: daemons,
    models: backends,
    settings: {metrics: {statsdHost: '127.0.0.1', statsdPort}},
  });
  try {
    await pause(warmUpMilliseconds);
    const routers = await pidsOf(cluster, false);
    const replicas = await pidsOf(cluster, true);
    sink.reset();
    const before = await usageOf([...routers, ...replicas]);
    await pause(measureMilliseconds);
    const after = await usageOf([...routers, ...replicas]);
    const seconds = measureMilliseconds / 1000;
    const meanCoreShare = (pids: number[]) =>
      pids.reduce(
        (sum, pid) => sum + (after.get(pid) ?? 0) - (before.get(pid) ?? 0),
        0,
      ) /
      Math.max(1, pids.length) /
      seconds;
    const memory = await Promise.all(routers.map(residentMegabytes));
    const sent = sink.sum('dogwoodtrestle.peer.sent_bytes');
    const received = sink.sum('dogwoodtrestle.peer.received_bytes');
    return {
      daemons,
      'backend servers': backends,
      'router: core, %': 100 * meanCoreShare(routers),
      'ledger replica: core, %': 100 * meanCoreShare(replicas),
      'router: resident, MB': Math.max(...memory),
      'KB a second per daemon': (sent + received) / 1000 / seconds / daemons,
      'calls a second per daemon':
        sink.sum('dogwoodtrestle.peer.calls') / seconds / daemons,
    };
  } finally {
    await cluster.stop();
    sink.stop();
  }
}

async function pidsOf(
  cluster: Cluster,
  hasReplica: boolean,
): Promise<number[]> {
  await callOperator(cluster, 'r1', 'GET', '/instances');
  return [...cluster.daemons.values()]
    .filter(({plan}) => (plan.dataFolder !== undefined) === hasReplica)
    .map(({process}) => process?.pid ?? 0);
}

async function usageOf(pids: readonly number[]): Promise<Map<number, number>> {
  const seconds = await Promise.all(pids.map(processorSeconds));
  return new Map(pids.map((pid, index) => [pid, seconds[index] ?? 0]));
}
