/**
 * @fileoverview Records changes of backend servers in the replicated log, so
 * that a group whose members all restarted knows the servers immediately, and
 * never considers a server that left as serving.
 *
 * The leader compares its directory with the replicated state, and proposes the
 * records that differ. So it also records what it learned before it led, and
 * what a failed proposal contained.
 */
import {
  type FleetState,
  isDeparture,
  isEqualRecord,
  isNewerRecord,
  type ServerDirectory,
  withoutColdTime,
} from '@dogwoodtrestle/fleet';
import {type Logger} from '@dogwoodtrestle/runtime';
import {
  type BackendServerRecord,
  type Departure,
  type NoteServers,
} from '@dogwoodtrestle/schema';

import {type ControlOptions} from './controlOptions.js';
import {type ReplicaGroup} from './replicaGroup.js';

/** Time for which changes are batched into one log entry. */
const batchDelayMilliseconds = 10;

/** Proposes changes of servers to the log while this process leads. */
export class ServerChangeRecorder {
  private recording?: Promise<boolean>;
  /** Committed records, as the state is bounded and drops the oldest ones. */
  private readonly committed = new WeakSet<BackendServerRecord>();

  constructor(
    private readonly options: Pick<ControlOptions, 'clock'> & {logger: Logger},
    private readonly group: ReplicaGroup,
    private readonly directory: Pick<ServerDirectory, 'find' | 'records'>,
    private readonly state: Pick<FleetState, 'backendServers'>,
  ) {}

  /** Records the changes so far without waiting, if this process leads. */
  recordSoon(): void {
    if (this.group.isLeader) void this.record();
  }

  /**
   * Resolves with whether the servers are known to leave, once the replicated
   * state has their records; false if these can't be committed.
   */
  async confirm(departures: readonly Departure[]): Promise<boolean> {
    while (this.group.isLeader) {
      const isPending = departures.some(({id}) => {
        const record = this.directory.find(id);
        return record !== undefined && this.isMissing(record);
      });
      if (!isPending) {
        return departures.every(departure => this.isDeparting(departure));
      }
      if (!(await this.record())) return false;
    }
    return false;
  }

  /**
   * Proposes the records that the replicated state lacks, and resolves with
   * whether they are committed. Joins a proposal in progress, which may lack the
   * newest changes.
   */
  private record(): Promise<boolean> {
    this.recording ??= this.proposeMissing().finally(() => {
      this.recording = undefined;
    });
    return this.recording;
  }

  private isDeparting({id, startedAt = Infinity}: Departure): boolean {
    const record = this.directory.find(id);
    // A departure may come after a later incarnation, or one at its address.
    if (record === undefined || record.startedAt > startedAt) return true;
    return isDeparture(record);
  }

  private async proposeMissing(): Promise<boolean> {
    const {clock, logger} = this.options;
    await new Promise<void>(resolve => {
      clock.setTimer(batchDelayMilliseconds, resolve);
    });
    let count = 0;
    try {
      if (this.group.confirmedAt === undefined) {
        // The state lacks what former leaders committed.
        await this.group.replica.barrier();
      }
      const records = this.directory.records.filter(record =>
        this.isMissing(record),
      );
      count = records.length;
      if (count === 0) return true;
      const command: NoteServers = {
        kind: 'noteServers',
        records: records.map(withoutColdTime),
      };
      await this.group.replica.propose([command]);
      for (const record of records) this.committed.add(record);
      return true;
    } catch (error) {
      logger.info({err: error, count}, 'could not record server changes');
      return false;
    }
  }

  /**
   * Whether the replicated state lacks a record. Silence isn't recorded, as each
   * process detects it.
   */
  private isMissing(record: BackendServerRecord): boolean {
    if (record.state === 'silent' || this.committed.has(record)) return false;
    const recorded = this.state.backendServers.get(record.id);
    if (recorded === undefined) return true;
    return isNewerRecord(record, recorded) && !isEqualRecord(record, recorded);
  }
}
