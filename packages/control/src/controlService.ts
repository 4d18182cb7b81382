/**
 * @fileoverview Handles requests of operators and backend servers. A follower
 * forwards those that only the leader can handle.
 */
import {
  checkConfiguration,
  type ConfigurationFinding,
  type FleetState,
  type PutOutcome,
  type ServerDirectory,
} from '@dogwoodtrestle/fleet';
import {type Counter} from '@dogwoodtrestle/runtime';
import {
  type BackendServerRecord,
  type Departure,
  type FleetConfiguration,
  type PutConfiguration,
  type UnblockPart,
} from '@dogwoodtrestle/schema';

import {
  type AnnouncementBroadcaster,
  type AnnouncementResult,
} from './announcementBroadcaster.js';
import {type ControlOptions} from './controlOptions.js';
import {type KnownRouters} from './knownRouters.js';
import {type LeaderCalls, type Unavailable} from './leaderCalls.js';
import {type ReplicaGroup} from './replicaGroup.js';

/** Result of a new configuration. */
export type PutResult =
  | {kind: 'acknowledged'; outcome: PutOutcome}
  | {kind: 'invalid'; findings: ConfigurationFinding[]}
  | Unavailable;

/** Result of a read. `source` is the document that the operator sent. */
export type ReadResult =
  | {kind: 'found'; version: number; source: string}
  | {kind: 'none'}
  | Unavailable;

/** Result of unblocking a part of prompts. */
export type UnblockResult =
  {kind: 'unblocked'} | {kind: 'notBlocked'} | Unavailable;

/** Longest time for which an acknowledgement waits until routers know. */
const routerWaitMilliseconds = 300;

/** Time after which it waits no more, from the receipt of a configuration. */
const waitLimitMilliseconds = 600;

/** Handles requests of operators and backend servers. */
export class ControlService {
  private readonly putCounter: Counter;
  private readonly announcements: Counter;

  constructor(
    private readonly options: ControlOptions,
    private readonly calls: Pick<LeaderCalls, 'run'>,
    private readonly group: ReplicaGroup,
    private readonly state: FleetState,
    private readonly directory: ServerDirectory,
    private readonly broadcaster: AnnouncementBroadcaster,
    private readonly routers: Pick<KnownRouters, 'waitUntilApplied'>,
  ) {
    this.putCounter = options.metrics.counter(
      'dogwoodtrestle_configuration_puts_total',
      'Configurations that operators sent, by outcome.',
    );
    this.announcements = options.metrics.counter(
      'dogwoodtrestle_announcements_total',
      'Announcements of backend servers, by outcome.',
    );
  }

  /** Validates a configuration and activates it if its version is higher. */
  async putConfiguration(
    configuration: FleetConfiguration,
    source: string,
  ): Promise<PutResult> {
    const findings = checkConfiguration(configuration);
    const result: PutResult =
      findings.length > 0
        ? {kind: 'invalid', findings}
        : await this.calls.run(
            () => this.proposeConfiguration(configuration, source),
            'putConfiguration',
            {configuration, source},
          );
    this.putCounter.add({outcome: result.kind});
    this.options.logger.info(
      {version: configuration.version, result},
      'configuration put',
    );
    return result;
  }

  /** Returns the active configuration by a linearizable read. */
  async readConfiguration(): Promise<ReadResult> {
    const result = await this.calls.run<ReadResult>(
      () => this.readAsLeader(),
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
   * Handles the announcement of a server. That of a draining server is
   * acknowledged by the leader once it is committed.
   */
  async announce(record: BackendServerRecord): Promise<AnnouncementResult> {
    this.directory.announce(record, this.options.clock.now());
    this.broadcaster.add({kind: 'announced', record});
    const result =
      record.state === 'draining'
        ? await this.broadcaster.flushToLeader(record)
        : ({kind: 'acknowledged'} as const);
    this.announcements.add({state: record.state, outcome: result.kind});
    return result;
  }

  /** Handles the departure of a server; acknowledged by the leader. */
  async leave(departure: Departure): Promise<AnnouncementResult> {
    this.directory.leave(
      departure.id,
      this.options.clock.now(),
      departure.startedAt,
    );
    this.broadcaster.add({kind: 'left', departure});
    const result = await this.broadcaster.flushToLeader(departure);
    this.announcements.add({state: 'left', outcome: result.kind});
    return result;
  }

  /**
   * Proposes a checked configuration; only the leader can. Resolves once the
   * routers have it, or a limited time has passed.
   */
  async proposeConfiguration(
    configuration: FleetConfiguration,
    source: string,
  ): Promise<PutResult> {
    const command: PutConfiguration = {
      kind: 'putConfiguration',
      configuration,
      source,
    };
    const {clock} = this.options;
    const receivedAt = clock.now();
    try {
      const [result] = await this.group.replica.propose([command]);
      const outcome = result as PutOutcome;
      await this.routers.waitUntilApplied(
        {configurationVersion: outcome.version},
        Math.min(
          routerWaitMilliseconds,
          receivedAt + waitLimitMilliseconds - clock.now(),
        ),
      );
      return {kind: 'acknowledged', outcome};
    } catch (error) {
      return {kind: 'unavailable', reason: String(error)};
    }
  }

  /** Lifts the block of a part of prompts or of a request for an operator. */
  unblockPart(part: string): Promise<UnblockResult> {
    return this.calls.run<UnblockResult>(
      () => this.proposeUnblock(part),
      'unblockPart',
      {part},
    );
  }

  /** Proposes to lift a block; only the leader can. */
  async proposeUnblock(part: string): Promise<UnblockResult> {
    const command: UnblockPart = {kind: 'unblockPart', part};
    try {
      const [wasBlocked] = await this.group.replica.propose([command]);
      this.options.logger.info(
        {subject: part, wasBlocked},
        'operator lifted a block',
      );
      return {kind: wasBlocked === true ? 'unblocked' : 'notBlocked'};
    } catch (error) {
      return {kind: 'unavailable', reason: String(error)};
    }
  }

  /** Reads the configuration behind a read barrier; only the leader can. */
  async readAsLeader(): Promise<ReadResult> {
    try {
      await this.group.replica.barrier();
    } catch (error) {
      return {kind: 'unavailable', reason: String(error)};
    }
    const current = this.state.current;
    if (current === undefined) return {kind: 'none'};
    const {configuration, source} = current;
    return {kind: 'found', version: configuration.version, source};
  }
}
