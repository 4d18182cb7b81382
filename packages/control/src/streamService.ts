/**
 * @fileoverview Tells routers which software version began a stream, while this
 * process leads.
 *
 * Routers report streams while servers of several versions are in service. Of a
 * stream that none has reported the version is still certain if all servers that
 * may have begun it have the same one.
 */
import {
  type FleetState,
  type ServerDirectory,
  softwareVersionOf,
  streamLifetimeMilliseconds,
} from '@dogwoodtrestle/fleet';
import {settledWithin} from '@dogwoodtrestle/runtime';
import {
  type BackendServerRecord,
  type KnownStream,
  type LeaderHint,
  type NoteStreams,
  type StreamQuery,
  type StreamQueryReply,
  type StreamReport,
  type StreamReportReply,
} from '@dogwoodtrestle/schema';

import {type ControlOptions} from './controlOptions.js';
import {type ReplicaGroup} from './replicaGroup.js';

/**
 * Time for which a reply waits for a majority: several round trips between distant
 * members, and less than the timeout of the routers' calls.
 */
const confirmationTimeoutMilliseconds = 300;

/** Which version began a stream, as the leader's state has it. */
type Origin = Pick<KnownStream, 'source' | 'softwareVersion'>;

/** Answers routers that report streams, or ask for the version of one. */
export class StreamService {
  constructor(
    private readonly options: Pick<ControlOptions, 'clock' | 'logger'>,
    private readonly group: Pick<
      ReplicaGroup,
      'isLeader' | 'replica' | 'confirmedAt' | 'leadsSince' | 'term'
    >,
    private readonly state: Pick<
      FleetState,
      'streamVersions' | 'retiredVersions' | 'backendServers'
    >,
    private readonly directory: Pick<ServerDirectory, 'records' | 'find'>,
    private readonly leaderHint: () => LeaderHint,
  ) {}

  /**
   * Records streams; resolves once a majority has them.
   *
   * @throws If the replica can't commit the report.
   */
  async record({streams}: StreamReport): Promise<StreamReportReply> {
    if (!this.group.isLeader) return this.leaderHint();
    const command: NoteStreams = {kind: 'noteStreams', streams};
    await this.group.replica.propose([command]);
    return {kind: 'recorded'};
  }

  /**
   * Returns the software version that began a stream, and how it is known. A
   * process that a majority doesn't confirm as the leader, after the call came,
   * replies with a leader hint: its state may lack servers and streams.
   */
  async find(query: StreamQuery): Promise<StreamQueryReply> {
    if (!(await this.isConfirmed())) return this.leaderHint();
    const origin = this.originOf(query);
    const {clock, logger} = this.options;
    const {confirmedAt, term} = this.group;
    const confirmationAgeMilliseconds =
      confirmedAt === undefined
        ? undefined
        : Math.round(clock.now() - confirmedAt);
    const reply = {...origin, term, confirmationAgeMilliseconds};
    logger.info({...query, ...reply}, 'origin of a stream told');
    return {kind: 'stream', ...reply};
  }

  private async isConfirmed(): Promise<boolean> {
    let isConfirmed = false;
    const confirmation = this.group.replica.barrier().then(() => {
      isConfirmed = true;
    });
    const {clock} = this.options;
    await settledWithin(clock, confirmation, confirmationTimeoutMilliseconds);
    return isConfirmed;
  }

  private originOf({attempt, service}: StreamQuery): Origin {
    const known =
      attempt === undefined
        ? undefined
        : this.state.streamVersions.find(attempt);
    if (known !== undefined) {
      const isSame = known.service === service;
      const softwareVersion = isSame ? known.softwareVersion : undefined;
      if (softwareVersion === undefined) {
        const {logger} = this.options;
        logger.warn({attempt, service}, 'attempt names several streams');
      }
      return {source: 'record', softwareVersion};
    }
    const versions = this.versionsOf(service);
    const [softwareVersion] = versions;
    if (versions.size !== 1) return {source: 'unknown'};
    return {source: 'history', softwareVersion};
  }

  /** Versions of all servers that may have begun a stream that still lives. */
  private versionsOf(service: string): Set<string> {
    const versions = new Set(
      this.state.retiredVersions(service, streamLifetimeMilliseconds),
    );
    const add = (record: BackendServerRecord) => {
      const isPresent = record.state !== 'left' && record.service === service;
      if (isPresent) versions.add(softwareVersionOf(record));
    };
    for (const record of this.directory.records) add(record);
    for (const record of this.state.backendServers.values()) {
      const isForgotten = this.directory.find(record.id) === undefined;
      if (!isForgotten || !this.hasHeardAll()) add(record);
    }
    return versions;
  }

  /**
   * Whether this process has led for as long as a stream lives. The directory of
   * one that was cut off before lacks servers that have served meanwhile.
   */
  private hasHeardAll(): boolean {
    const now = this.options.clock.now();
    const {leadsSince = now} = this.group;
    return now - leadsSince >= streamLifetimeMilliseconds;
  }
}
