/**
 * @fileoverview What operators and backend servers ask of the control process.
 * Whichever process is asked passes the question on to the leader.
 */
import {
  checkConfiguration,
  type ConfigurationFinding,
  type FleetState,
  type PutOutcome,
  type ServerDirectory,
} from '@dogwoodtrestle/fleet';
import {type Counter, type PeerCallClient} from '@dogwoodtrestle/runtime';
import {
  type BackendServerRecord,
  type Departure,
  type FleetConfiguration,
  type PutConfiguration,
} from '@dogwoodtrestle/schema';

import {
  type AnnouncementResult,
  type AnnouncementBroadcaster,
} from './announcementBroadcaster.js';
import {type ReplicaGroup} from './replicaGroup.js';
import {type ControlOptions} from './controlOptions.js';

/** What came of a new configuration. */
export type PutResult =
  | {kind: 'acknowledged'; outcome: PutOutcome}
  | {kind: 'invalid'; findings: ConfigurationFinding[]}
  | {kind: 'unavailable'; reason: string};

/** What came of a read. `source` is the document that the operator sent. */
export type ReadResult =
  | {kind: 'found'; version: number; source: string}
  | {kind: 'none'}
  | {kind: 'unavailable'; reason: string};

/** Serves operators and backend servers. */
export class ControlService {
  private readonly puts: Counter;
  private readonly announcements: Counter;

  constructor(
    private readonly options: ControlOptions,
    private readonly calls: PeerCallClient,
    private readonly group: ReplicaGroup,
    private readonly state: FleetState,
    private readonly directory: ServerDirectory,
    private readonly spreader: AnnouncementBroadcaster,
  ) {
    this.puts = options.metrics.counter(
      'dogwoodtrestle_configuration_puts_total',
      'Configurations that operators sent, by outcome.',
    );
    this.announcements = options.metrics.counter(
      'dogwoodtrestle_announcements_total',
      'Announcements of backend servers, by outcome.',
    );
  }

  /** Checks a configuration and puts it in force if its version is higher. */
  async putConfiguration(
    configuration: FleetConfiguration,
    source: string,
  ): Promise<PutResult> {
    const findings = checkConfiguration(configuration);
    const result: PutResult =
      findings.length > 0
        ? {kind: 'invalid', findings}
        : await this.atLeader(
            () => this.proposeConfiguration(configuration, source),
            'putConfiguration',
            {configuration, source},
          );
    this.puts.add({outcome: result.kind});
    this.options.logger.info(
      {version: configuration.version, result},
      'configuration put',
    );
    return result;
  }

  /** Reads the newest configuration, linearizably. */
  async readConfiguration(): Promise<ReadResult> {
    const result = await this.atLeader<ReadResult>(
      () => this.readLocally(),
      'readConfiguration',
      {},
    );
    this.options.logger.info(
      {
        kind: result.kind,
        version: result.kind === 'found' ? result.version : undefined,
      },
      'configuration read',
    );
    return result;
  }

  /**
   * Takes the announcement of a server. One that is leaving is acknowledged
   * once the leader has it, since routers hear of it from the leader.
   */
  async announce(record: BackendServerRecord): Promise<AnnouncementResult> {
    this.directory.announce(record, this.options.clock.now());
    this.spreader.add({kind: 'announced', record});
    const result =
      record.state === 'draining'
        ? await this.spreader.flushToLeader()
        : ({kind: 'acknowledged'} as const);
    this.announcements.add({state: record.state, outcome: result.kind});
    return result;
  }

  /** Takes the departure of a server. */
  async leave(departure: Departure): Promise<AnnouncementResult> {
    this.directory.leave(
      departure.id,
      this.options.clock.now(),
      departure.startedAt,
    );
    this.spreader.add({kind: 'left', departure});
    const result = await this.spreader.flushToLeader();
    this.announcements.add({state: 'left', outcome: result.kind});
    return result;
  }

  /** The part of `putConfiguration` that only the leader can do. */
  async proposeConfiguration(
    configuration: FleetConfiguration,
    source: string,
  ): Promise<PutResult> {
    const command: PutConfiguration = {
      kind: 'putConfiguration',
      configuration,
      source,
    };
    try {
      const [outcome] = await this.group.replica.propose([command]);
      return {kind: 'acknowledged', outcome: outcome as PutOutcome};
    } catch (error) {
      return {kind: 'unavailable', reason: String(error)};
    }
  }

  /** The part of `readConfiguration` that only the leader can do. */
  async readLocally(): Promise<ReadResult> {
    try {
      await this.group.replica.barrier();
    } catch (error) {
      return {kind: 'unavailable', reason: String(error)};
    }
    const held = this.state.current;
    if (held === undefined) return {kind: 'none'};
    const {configuration, source} = held;
    return {kind: 'found', version: configuration.version, source};
  }

  /** Runs at the leader, within the time limit of a forwarded call. */
  private async atLeader<T>(
    run: () => Promise<T>,
    method: string,
    message: unknown,
  ): Promise<T | {kind: 'unavailable'; reason: string}> {
    const {forwardTimeoutMilliseconds, clock} = this.options;
    if (this.group.isLeader) {
      let cancel = () => {};
      const limit = new Promise<{kind: 'unavailable'; reason: string}>(
        resolve => {
          cancel = clock.setTimer(forwardTimeoutMilliseconds, () =>
            resolve({kind: 'unavailable', reason: 'no majority in time'}),
          );
        },
      );
      return Promise.race([run(), limit]).finally(() => cancel());
    }
    const leader = this.group.leaderAddress;
    if (leader === undefined) {
      return {kind: 'unavailable', reason: 'no leader is known'};
    }
    try {
      return await this.calls.call<T>(leader, method, message, {
        timeoutMilliseconds: forwardTimeoutMilliseconds,
      });
    } catch (error) {
      return {kind: 'unavailable', reason: String(error)};
    }
  }
}
