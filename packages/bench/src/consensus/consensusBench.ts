/**
 * @fileoverview Measures the replicated log with three replicas in one process
 * that write real files and exchange messages encoded as JSON.
 */
import {mkdtemp, readdir, rm, stat} from 'node:fs/promises';
import path from 'node:path';
import {performance} from 'node:perf_hooks';

import {
  type ConsensusMessage,
  type ConsensusReply,
  FileStorage,
  type Member,
  Replica,
  systemClock,
} from '@dogwoodtrestle/consensus';
import {build, type Histogram} from 'hdr-histogram-js';

/** Options of the measurement. */
export interface ConsensusBenchOptions {
  /** Folder on the disk to measure; a subfolder is created and removed. */
  folder: string;
  secondsPerRow: number;
  /** Numbers of commands per proposal, one row each. */
  batchSizes: readonly number[];
  /** Numbers of concurrent callers, each waiting for its result in turn. */
  callers: readonly number[];
  /** Approximate size of one command's JSON text in bytes. */
  commandBytes: number;
}

/** Defaults of {@link ConsensusBenchOptions}. */
export const defaultConsensusBenchOptions: ConsensusBenchOptions = {
  folder: '.',
  secondsPerRow: 2,
  batchSizes: [1, 10, 100, 1_000],
  callers: [1, 64],
  commandBytes: 400,
};

/** Results for one combination of batch size and callers. */
export interface ConsensusRow {
  callers: number;
  commandsPerProposal: number;
  commandsPerSecond: number;
  entriesPerSecond: number;
  commandsPerEntry: number;
  medianMilliseconds: number;
  p99Milliseconds: number;
  /** Mean time of one log write including its sync. */
  syncMilliseconds: number;
  /** Bytes on one replica's disk. */
  bytesPerCommand: number;
  /** Processor time of all three replicas together. */
  cpuMicrosecondsPerCommand: number;
}

/** Number and total duration of the log writes of all replicas. */
interface WriteTotals {
  count: number;
  milliseconds: number;
}

/** Three replicas in one process. */
interface ReplicaGroup {
  leader: Replica;
  writes: WriteTotals;
  stop(): Promise<void>;
}

const replicaCount = 3;
const microsecondsPerMillisecond = 1_000;

/** Measures each combination of batch size and callers on new replicas. */
export async function measureConsensus(
  overrides: Partial<ConsensusBenchOptions> = {},
): Promise<ConsensusRow[]> {
  const options = {...defaultConsensusBenchOptions, ...overrides};
  const rows: ConsensusRow[] = [];
  for (const callers of options.callers) {
    for (const batchSize of options.batchSizes) {
      rows.push(await measureRow(options, callers, batchSize));
    }
  }
  return rows;
}

async function measureRow(
  options: ConsensusBenchOptions,
  callers: number,
  batchSize: number,
): Promise<ConsensusRow> {
  const folder = await mkdtemp(path.join(options.folder, 'consensus-bench-'));
  try {
    const group = await startReplicaGroup(folder);
    const firstIndex = group.leader.status().commitIndex;
    const writesBefore = {...group.writes};
    const cpuBefore = process.cpuUsage();
    const started = performance.now();
    const {commands, latencies} = await runCallers(
      group.leader,
      options,
      callers,
      batchSize,
    );
    const seconds = (performance.now() - started) / 1_000;
    const cpu = process.cpuUsage(cpuBefore);
    const entries = group.leader.status().commitIndex - firstIndex;
    const writes = group.writes.count - writesBefore.count;
    const writeMilliseconds =
      group.writes.milliseconds - writesBefore.milliseconds;
    await group.stop();
    return {
      callers,
      commandsPerProposal: batchSize,
      commandsPerSecond: commands / seconds,
      entriesPerSecond: entries / seconds,
      commandsPerEntry: commands / entries,
      medianMilliseconds: percentile(latencies, 50),
      p99Milliseconds: percentile(latencies, 99),
      syncMilliseconds: writeMilliseconds / writes,
      bytesPerCommand: (await folderBytes(folder)) / replicaCount / commands,
      cpuMicrosecondsPerCommand: (cpu.user + cpu.system) / commands,
    };
  } finally {
    await rm(folder, {recursive: true});
  }
}

/** Runs one closed loop of proposals per caller until the time is up. */
async function runCallers(
  leader: Replica,
  {secondsPerRow, commandBytes}: ConsensusBenchOptions,
  callers: number,
  batchSize: number,
): Promise<{commands: number; latencies: Histogram}> {
  const latencies = build();
  const padding = 'x'.repeat(Math.max(0, commandBytes - 40));
  const end = performance.now() + secondsPerRow * 1_000;
  let commands = 0;
  const runCaller = async () => {
    while (performance.now() < end) {
      const batch = Array.from({length: batchSize}, (_, n) => ({
        kind: 'measure',
        number: commands + n,
        padding,
      }));
      const started = performance.now();
      await leader.propose(batch);
      const elapsed = performance.now() - started;
      latencies.recordValue(Math.round(elapsed * microsecondsPerMillisecond));
      commands += batchSize;
    }
  };
  await Promise.all(Array.from({length: callers}, runCaller));
  return {commands, latencies};
}

function percentile(latencies: Histogram, percent: number): number {
  return latencies.getValueAtPercentile(percent) / microsecondsPerMillisecond;
}

async function startReplicaGroup(folder: string): Promise<ReplicaGroup> {
  const writes: WriteTotals = {count: 0, milliseconds: 0};
  const replicas = new Map<string, Replica>();
  const members: Member[] = [];
  for (let n = 0; n < replicaCount; n++) {
    const storage = await FileStorage.open(path.join(folder, String(n)));
    measureWrites(storage, writes);
    const id = storage.identity;
    members.push({id, instance: id, address: id, role: 'voter'});
    const replica = await Replica.open({
      member: {id, instance: id, address: id, role: 'voter'},
      storage,
      stateMachine: {
        apply: ({commands}) => (commands ?? []).map(() => null),
        snapshot: () => null,
        restore: () => undefined,
      },
      transport: {
        send: (to, message) => sendMessage(replicas.get(to.id), message),
      },
      clock: systemClock,
      random: Math.random,
    });
    replicas.set(id, replica);
  }
  for (const replica of replicas.values()) await replica.bootstrap(members);
  for (const replica of replicas.values()) replica.start();
  return {
    leader: await findLeader([...replicas.values()]),
    writes,
    stop: async () => {
      for (const replica of replicas.values()) await replica.stop();
    },
  };
}

/** Delivers a message, encoded and decoded as a network transport would. */
async function sendMessage(
  replica: Replica | undefined,
  message: ConsensusMessage,
): Promise<ConsensusReply> {
  if (replica === undefined) throw new Error('message to an unknown replica');
  const received = JSON.parse(JSON.stringify(message)) as ConsensusMessage;
  const reply = await replica.receive(received);
  return JSON.parse(JSON.stringify(reply)) as ConsensusReply;
}

function measureWrites(storage: FileStorage, totals: WriteTotals): void {
  const append = storage.append.bind(storage);
  storage.append = async entries => {
    const started = performance.now();
    await append(entries);
    totals.count++;
    totals.milliseconds += performance.now() - started;
  };
}

/** Polls until a leader has committed an entry in its term. */
async function findLeader(replicas: Replica[]): Promise<Replica> {
  const pollMilliseconds = 20;
  for (;;) {
    const leader = replicas.find(replica => {
      const {role, commitIndex} = replica.status();
      return role === 'leader' && commitIndex > 1;
    });
    if (leader !== undefined) return leader;
    await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
  }
}

async function folderBytes(folder: string): Promise<number> {
  let bytes = 0;
  for (const name of await readdir(folder, {recursive: true})) {
    const status = await stat(path.join(folder, name));
    if (status.isFile()) bytes += status.size;
  }
  return bytes;
}
