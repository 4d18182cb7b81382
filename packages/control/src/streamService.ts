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
import {type Logger} from '@dogwoodtrestle/runtime';
import {
  type LeaderHint,
  type NoteStreams,
  type StreamQuery,
  type StreamQueryReply,
  type StreamReport,
  type StreamReportReply,
} from '@dogwoodtrestle/schema';

import {type ReplicaGroup} from './replicaGroup.js';

/** Answers routers that report streams, or ask for the version of one. */
export class StreamService {
  constructor(
    private readonly logger: Logger,
    private readonly group: Pick<
      ReplicaGroup,
      'isLeader' | 'replica' | 'confirmedAt'
    >,
    private readonly state: Pick<
      FleetState,
      'streamVersions' | 'retiredVersions' | 'backendServers'
    >,
    private readonly directory: Pick<ServerDirectory, 'records'>,
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

  /** Returns the software version that began a stream, and how it is known. */
  async find({attempt, service}: StreamQuery): Promise<StreamQueryReply> {
    if (!this.group.isLeader) return this.leaderHint();
    if (this.group.confirmedAt === undefined) {
      // The state lacks what former leaders committed.
      await this.group.replica.barrier();
    }
    const known =
      attempt === undefined
        ? undefined
        : this.state.streamVersions.find(attempt);
    if (known !== undefined) {
      const isSame = known.service === service;
      const softwareVersion = isSame ? known.softwareVersion : undefined;
      if (softwareVersion === undefined) {
        this.logger.warn({attempt, service}, 'attempt names several streams');
      }
      return {kind: 'stream', source: 'record', softwareVersion};
    }
    const versions = this.versionsOf(service);
    const [softwareVersion] = versions;
    if (versions.size !== 1) return {kind: 'stream', source: 'unknown'};
    return {kind: 'stream', source: 'history', softwareVersion};
  }

  /** Versions of all servers that may have begun a stream that still lives. */
  private versionsOf(service: string): Set<string> {
    const versions = new Set(
      this.state.retiredVersions(service, streamLifetimeMilliseconds),
    );
    for (const record of this.directory.records) {
      // The replicated state may still have the server's record before this one.
      const recorded = this.state.backendServers.get(record.id) ?? record;
      for (const server of [record, recorded]) {
        const isPresent = server.state !== 'left' && server.service === service;
        if (isPresent) versions.add(softwareVersionOf(server));
      }
    }
    return versions;
  }
}
