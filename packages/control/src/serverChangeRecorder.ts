/**
 * @fileoverview Records changes of backend servers in the replicated log, so
 * that a group whose members all restarted knows the servers immediately, and
 * never considers a server that left as serving.
 */
import {type Logger} from '@dogwoodtrestle/runtime';
import {
  type BackendServerRecord,
  type NoteServers,
} from '@dogwoodtrestle/schema';

import {type ControlOptions} from './controlOptions.js';
import {type ReplicaGroup} from './replicaGroup.js';

/** Time for which changes are batched into one log entry. */
const batchDelayMilliseconds = 10;

/** Limit of changes that are kept for a retry. */
const maxPendingRecords = 1_000;

/** Proposes changes of servers to the log while this process leads. */
export class ServerChangeRecorder {
  private pending: BackendServerRecord[] = [];
  private flushing?: Promise<boolean>;

  constructor(
    private readonly options: Pick<ControlOptions, 'clock'> & {logger: Logger},
    private readonly group: ReplicaGroup,
  ) {}

  /** Adds a change. Silence isn't recorded, as each process detects it. */
  add(record: BackendServerRecord): void {
    if (record.state === 'silent' || !this.group.isLeader) return;
    this.pending.push(record);
    void this.flush();
  }

  /** Resolves once all changes so far are committed; false if unconfirmed. */
  flush(): Promise<boolean> {
    this.flushing ??= this.proposePending();
    return this.flushing;
  }

  private async proposePending(): Promise<boolean> {
    const {clock, logger} = this.options;
    await new Promise<void>(resolve => {
      clock.setTimer(batchDelayMilliseconds, resolve);
    });
    const records = this.pending;
    this.pending = [];
    this.flushing = undefined;
    if (records.length === 0) return true;
    const command: NoteServers = {kind: 'noteServers', records};
    try {
      await this.group.replica.propose([command]);
      return true;
    } catch (error) {
      logger.info(
        {err: error, count: records.length},
        'could not record server changes',
      );
      this.pending = [...records, ...this.pending].slice(0, maxPendingRecords);
      return false;
    }
  }
}
