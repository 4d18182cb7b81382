/**
 * @fileoverview Control processes with a replicated log in memory. Timers are
 * those of the test.
 */
import {NotLeader, OutcomeUnknown} from '@dogwoodtrestle/consensus';
import {FleetState, ServerDirectory} from '@dogwoodtrestle/fleet';
import {
  MetricsRegistry,
  type PeerCallClient,
  silentLogger,
  systemClock,
} from '@dogwoodtrestle/runtime';
import {
  type AnnouncementBatch,
  type BackendServerRecord,
  type Entry,
  type FleetCommand,
} from '@dogwoodtrestle/schema';

import {AnnouncementBroadcaster} from '../../src/announcementBroadcaster.js';
import {
  applyServerRecord,
  receiveAnnouncements,
} from '../../src/announcementReceiver.js';
import {recordIntervalMilliseconds} from '../../src/controlNode.js';
import {
  type ControlOptions,
  defaultControlOptions,
} from '../../src/controlOptions.js';
import {ControlService} from '../../src/controlService.js';
import {DepartureAcknowledger} from '../../src/departureAcknowledger.js';
import {KnownRouters} from '../../src/knownRouters.js';
import {LeaderCalls} from '../../src/leaderCalls.js';
import {type ReplicaGroup} from '../../src/replicaGroup.js';
import {ServerChangeRecorder} from '../../src/serverChangeRecorder.js';

/** Creates the announcement of a server. */
export function createRecord(
  fields: Partial<BackendServerRecord> = {},
): BackendServerRecord {
  return {
    id: 's-1',
    startedAt: 100,
    sequence: 1,
    service: 'llm',
    address: '10.0.0.1:80',
    state: 'ready',
    slots: 4,
    ...fields,
  };
}

/** A control process. */
export class ControlProcess {
  readonly directory: ServerDirectory;
  readonly service: ControlService;
  readonly routers: KnownRouters;
  private readonly state: FleetState;
  private readonly recorder: ServerChangeRecorder;
  private readonly departures: DepartureAcknowledger;

  constructor(
    readonly address: string,
    private readonly group: ControlGroup,
  ) {
    const options = {
      ...defaultControlOptions,
      clock: systemClock,
      logger: silentLogger,
      metrics: new MetricsRegistry(),
    } as unknown as ControlOptions;
    const {clock} = options;
    const replicaGroup = this.replicaGroup();
    this.directory = new ServerDirectory(
      address,
      {isRecorded: record => this.state.hasServer(record)},
      () => this.recorder.recordSoon(),
    );
    this.state = new FleetState({
      onConfiguration: () => undefined,
      onServers: records => {
        for (const record of records) {
          applyServerRecord(this.directory, record, clock.now());
        }
      },
    });
    this.recorder = new ServerChangeRecorder(
      options,
      replicaGroup,
      this.directory,
      this.state,
    );
    this.routers = new KnownRouters(options, replicaGroup);
    this.departures = new DepartureAcknowledger(
      options,
      this.recorder,
      this.directory,
      this.routers,
    );
    setInterval(() => this.recorder.recordSoon(), recordIntervalMilliseconds);
    const client = {
      call: (to: string, method: string, message: AnnouncementBatch) =>
        group.send(to, method, message),
    } as unknown as PeerCallClient;
    const broadcaster = new AnnouncementBroadcaster(
      options,
      client,
      replicaGroup,
      this.departures,
    );
    this.service = new ControlService(
      options,
      new LeaderCalls(options, client, replicaGroup),
      replicaGroup,
      this.state,
      this.directory,
      broadcaster,
      this.routers,
    );
  }

  /** Servers by id with their states, as routers of this process see them. */
  get servers(): Record<string, string> {
    const records = this.directory.changesSince('', -1)?.records ?? [];
    return Object.fromEntries(records.map(({id, state}) => [id, state]));
  }

  /** Applies a committed entry. */
  apply(entry: Entry): unknown[] {
    return this.state.apply(entry);
  }

  /** Handles a batch of announcements from another process. */
  receive({announcements}: AnnouncementBatch): Promise<unknown> {
    return receiveAnnouncements(
      announcements,
      this.directory,
      this.replicaGroup(),
      this.departures,
      systemClock,
    );
  }

  private replicaGroup(): ReplicaGroup {
    const {address, group} = this;
    const fake = {
      term: 1,
      get isLeader() {
        return group.leader === address;
      },
      get confirmedAt() {
        return group.leader === address ? systemClock.now() : undefined;
      },
      get leaderAddress() {
        return group.leader === address ? undefined : group.leader;
      },
      get otherAddresses() {
        return group.addresses.filter(other => other !== address);
      },
      replica: {
        barrier: () => group.barrier(),
        propose: (commands: FleetCommand[]) => group.propose(address, commands),
      },
    };
    return fake as unknown as ReplicaGroup;
  }
}

/** Control processes of which one leads. */
export class ControlGroup {
  readonly processes: ControlProcess[];
  /** Address of the leader. */
  leader: string;
  /** Whether proposals are committed; they wait while it is false. */
  isCommitting = true;
  /** Time of a read barrier. */
  barrierMilliseconds = 0;
  /** Sizes of the batches that were received. */
  readonly batchSizes: number[] = [];
  private readonly entries: Entry[] = [];

  constructor(readonly addresses: readonly string[]) {
    this.leader = addresses[0] ?? '';
    this.processes = addresses.map(
      address => new ControlProcess(address, this),
    );
  }

  /** Starts a process that knows only the committed entries. */
  restart(): ControlProcess {
    const process = new ControlProcess('restarted', this);
    for (const entry of this.entries) process.apply(entry);
    return process;
  }

  /** Delivers a call between two processes. */
  async send(
    to: string,
    method: string,
    batch: AnnouncementBatch,
  ): Promise<unknown> {
    const receiver = this.processes.find(({address}) => address === to);
    if (receiver === undefined || method !== 'announcements') {
      throw new Error(`${to} does not handle ${method}`);
    }
    this.batchSizes.push(batch.announcements.length);
    return receiver.receive(batch);
  }

  /** Resolves once a read barrier is confirmed. */
  barrier(): Promise<number> {
    return new Promise(resolve => {
      setTimeout(() => resolve(0), this.barrierMilliseconds);
    });
  }

  /** Commits commands of the leader, and applies them at all processes. */
  async propose(
    address: string,
    commands: readonly FleetCommand[],
  ): Promise<unknown[]> {
    if (address !== this.leader) throw new NotLeader('another process leads');
    while (!this.isCommitting) {
      await new Promise(resolve => setTimeout(resolve, 1));
      if (address !== this.leader) throw new OutcomeUnknown('leadership ended');
    }
    const index = this.entries.length + 1;
    const entry: Entry = {
      index,
      term: 1,
      timestamp: index,
      kind: 'commands',
      commands: structuredClone([...commands]),
    };
    this.entries.push(entry);
    const results = this.processes.map(process => ({
      address: process.address,
      results: process.apply(entry),
    }));
    return results.find(result => result.address === address)?.results ?? [];
  }
}
