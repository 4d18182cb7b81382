/**
 * @fileoverview Notes changes of backend servers in the replicated log, so that
 * a group that starts again as a whole knows the servers at once, and never
 * takes one that left for one that serves.
 */
import {type Logger} from '@dogwoodtrestle/runtime';
import {
  type BackendServerRecord,
  type NoteServers,
} from '@dogwoodtrestle/schema';

import {type ReplicaGroup} from './replicaGroup.js';
import {type ControlOptions} from './controlOptions.js';

/** Time for which changes are gathered into one entry. */
const gatherMilliseconds = 10;

/** Changes that wait for another try at the most. */
const maxPending = 1_000;

/** Proposes notes while this process leads. */
export class ServerChangeRecorder {
  private pending: BackendServerRecord[] = [];
  private flushing?: Promise<boolean>;

  constructor(
    private readonly options: Pick<ControlOptions, 'clock'> & {logger: Logger},
    private readonly group: ReplicaGroup,
  ) {}

  /** Adds a change; silence isn't noted, as it is seen anew. */
  add(record: BackendServerRecord): void {
    if (record.state === 'silent' || !this.group.isLeader) return;
    this.pending.push(record);
    void this.flush();
  }

  /** Resolves once all changes so far are committed; false if they may not be. */
  flush(): Promise<boolean> {
    this.flushing ??= this.gather();
    return this.flushing;
  }

  private async gather(): Promise<boolean> {
    const {clock, logger} = this.options;
    await new Promise<void>(resolve => {
      clock.setTimer(gatherMilliseconds, resolve);
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
      logger.info({err: error, count: records.length}, 'servers not noted');
      this.pending = [...records, ...this.pending].slice(0, maxPending);
      return false;
    }
  }
}
