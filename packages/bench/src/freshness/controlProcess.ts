/**
 * @fileoverview A control process in virtual time: the parts of `ControlNode`
 * without its sockets and files.
 */
import {type FileStorage} from '@dogwoodtrestle/consensus';
import {
  applyServerRecord,
  type EvacuationOrder,
  type ControlOptions,
  createControlParts,
  defaultControlOptions,
  type ForwardedOrder,
  receiveAnnouncements,
  recordIntervalMilliseconds,
  ReplicaGroup,
  type ServerChangeRecorder,
  type WatchService,
} from '@dogwoodtrestle/control';
import {FleetState, isDeparture, ServerDirectory} from '@dogwoodtrestle/fleet';
import {
  type CallContext,
  MetricsRegistry,
  PeriodicTask,
  silentLogger,
} from '@dogwoodtrestle/runtime';
import {
  type AnnouncementBatch,
  type BackendServerRecord,
  type ConsensusMessage,
  type Departure,
  type FleetConfiguration,
  type JoinRequest,
  type Member,
  type StreamQuery,
  type StreamReport,
  type UsageReport,
  type WatchRequest,
} from '@dogwoodtrestle/schema';

import {type MemoryDisk, MemoryStorage} from './memoryStorage.js';
import {type VirtualMachine} from './virtualMachine.js';
import {type VirtualNetwork} from './virtualNetwork.js';

/** Attempts to connect of a control process, as in `ControlNode`. */
const connectAttempts = 1;

/** Interval at which the directory is checked, as in `ControlNode`. */
const silenceCheckIntervalMilliseconds = 500;

/** Interval at which routers are refreshed, as in `ControlNode`. */
const refreshCheckIntervalMilliseconds = 50;

/** Options of a control process. */
export interface ControlProcessOptions {
  seeds: string[];
  /** Applied entries after which a snapshot is taken. */
  snapshotEveryEntries: number;
}

/** A running control process. */
export interface ControlProcess {
  group: ReplicaGroup;
  state: FleetState;
  directory: ServerDirectory;
}

/** Starts a control process on a machine. */
export async function startControlProcess(
  machine: VirtualMachine,
  disk: MemoryDisk,
  network: VirtualNetwork,
  {seeds, snapshotEveryEntries}: ControlProcessOptions,
): Promise<ControlProcess> {
  const clock = machine.start();
  const client = network.clientOf(machine, connectAttempts);
  const options: ControlOptions = {
    ...defaultControlOptions,
    consensus: {...defaultControlOptions.consensus, snapshotEveryEntries},
    instance: machine.address,
    failureDomain: machine.address,
    peerAddress: machine.address,
    dataFolder: '',
    seeds: () => seeds,
    bootstrap: true,
    logger: silentLogger,
    metrics: new MetricsRegistry(),
    clock,
    onFailure: error => {
      throw error;
    },
  };
  const parts: {watch?: WatchService; recorder?: ServerChangeRecorder} = {};
  const epoch = `${machine.address}#${machine.epoch}`;
  const isRecorded = (record: BackendServerRecord) => state.hasServer(record);
  const directory = new ServerDirectory(epoch, {isRecorded}, record => {
    if (directory.isOffered(record.id)) {
      parts.watch?.notifyWatchers(isDeparture(record) ? 'urgent' : 'normal');
    }
    parts.recorder?.recordSoon();
  });
  const state: FleetState = new FleetState({
    onConfiguration: next => parts.watch?.putConfiguration(next),
    onEvacuations: next => parts.watch?.putEvacuations(next),
    onServers: records => {
      const now = clock.now();
      for (const record of records) applyServerRecord(directory, record, now);
    },
  });
  const storage = new MemoryStorage(disk, clock) as unknown as FileStorage;
  const group = await ReplicaGroup.open(options, client, storage, state);
  const {watch, refresher, recorder, departures, ...others} =
    createControlParts({
      options: {...options, isRefused: () => Promise.resolve(false)},
      client,
      group,
      state,
      directory,
      topics: [],
    });
  const {grants, service, evacuations, streams} = others;
  Object.assign(parts, {watch, recorder});
  machine.handlers = {
    consensus: (message: ConsensusMessage) => group.receive(message),
    identity: async () => group.identity(),
    found: ({members}: {members: Member[]}) => group.acceptBootstrap(members),
    join: async (request: JoinRequest) => group.receiveJoinRequest(request),
    watch: (request: WatchRequest, call: CallContext) =>
      watch.watch(request, call),
    usage: (report: UsageReport) => grants.report(report),
    recordStreams: (report: StreamReport) => streams.record(report),
    findStream: (query: StreamQuery) => streams.find(query),
    announcements: ({announcements}: AnnouncementBatch) =>
      receiveAnnouncements(announcements, directory, group, departures, clock),
    putConfiguration: ({
      configuration,
      source,
    }: {
      configuration: FleetConfiguration;
      source: string;
    }) => service.proposeConfiguration(configuration, source),
    orderEvacuation: (order: ForwardedOrder) => evacuations.propose(order),
    // Calls of operators and servers.
    evacuate: (order: EvacuationOrder, call: CallContext) =>
      evacuations.order(order, () => call.hasEnded),
    put: (configuration: FleetConfiguration) =>
      service.putConfiguration(configuration, JSON.stringify(configuration)),
    announce: (record: BackendServerRecord) => service.announce(record),
    leave: (departure: Departure) => service.leave(departure),
  };
  const tasks: Array<[name: string, milliseconds: number, run: () => void]> = [
    [
      'detect silent servers',
      silenceCheckIntervalMilliseconds,
      () => directory.expire(clock.now()),
    ],
    [
      'record server changes',
      recordIntervalMilliseconds,
      () => recorder.recordSoon(),
    ],
    [
      'refresh routers that lack a change',
      refreshCheckIntervalMilliseconds,
      () => refresher.refresh(),
    ],
  ];
  group.start();
  for (const [name, intervalMilliseconds, run] of tasks) {
    const task = new PeriodicTask({
      name,
      clock,
      logger: silentLogger,
      intervalMilliseconds,
      run: async () => run(),
    });
    task.start();
  }
  return {group, state, directory};
}
