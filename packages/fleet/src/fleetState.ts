/**
 * @fileoverview The replicated state of the fleet: its configuration, its
 * prepaid accounts, and the backend servers that announced themselves.
 */
import {
  type BackendServerRecord,
  type BlockedPart,
  type BlockedParts,
  type Entry,
  type Evacuations,
  type FleetCommand,
  type FleetConfiguration,
  type PutConfiguration,
} from '@dogwoodtrestle/schema';

import {BlockedPartList} from './blockedParts.js';
import {
  EvacuationList,
  type EvacuationOutcome,
  noEvacuations,
} from './evacuations.js';
import {
  emptyPrepaidState,
  type PrepaidState,
  recordUsage,
} from './prepaidAccounts.js';
import {RetiredVersions, type RetiredVersion} from './retiredVersions.js';
import {isNewerRecord, isSameSoftware} from './serverRecords.js';
import {type KnownStream, StreamVersions} from './streamVersions.js';
import {
  stateVersion,
  upgradePrepaidState,
  upgradeUsage,
} from './stateVersions.js';

/** Result of putting a new configuration. */
export interface PutOutcome {
  kind: 'accepted' | 'notNewer';
  /** Version of the active configuration afterwards. */
  version: number;
}

/** The active configuration and the document that it was parsed from. */
export interface ActiveConfiguration {
  configuration: FleetConfiguration;
  source: string;
}

interface Snapshot {
  /** Missing in snapshots of version 1. */
  version?: number;
  held?: ActiveConfiguration;
  book: PrepaidState;
  servers: BackendServerRecord[];
  /** Missing before version 3. */
  blockedParts?: BlockedParts;
  /** Missing before version 4. */
  streams?: Array<[string, KnownStream]>;
  /** Missing before version 4. */
  retiredVersions?: RetiredVersion[];
  /** Missing before version 5. */
  evacuations?: Evacuations;
}

type CommandHandlers = {
  [K in FleetCommand['kind']]: (
    command: Extract<FleetCommand, {kind: K}>,
    now: number,
  ) => unknown;
};

/** Callbacks for changes of the state. */
export interface FleetListener {
  onConfiguration(configuration: FleetConfiguration): void;
  onServers(records: readonly BackendServerRecord[]): void;
  /** Called when a part of prompts is blocked, or unblocked. */
  onBlockedPart?(part: string, blocked: BlockedPart | undefined): void;
  /** Called when an evacuation begins or ends, and with those of a snapshot. */
  onEvacuations?(evacuations: Evacuations): void;
  /** Called when a command could not be applied, or a callback has failed. */
  onFailure?(failure: FleetStateFailure): void;
}

/** What failed, and the command and the index of its entry in the log. */
export interface FleetStateFailure {
  kind?: FleetCommand['kind'];
  index?: number;
  /** Whether the state has the command's changes, and only a callback failed. */
  isApplied: boolean;
  error: Error;
}

/** Most servers kept; the least recently recorded ones are removed. */
const maxServers = 5_000;

/** Most servers that left kept, so that restarted processes know of them. */
const maxDepartedServers = 500;

/**
 * Deterministic state machine. All replicas apply the same log entries in the
 * same order.
 */
export class FleetState {
  private active?: ActiveConfiguration;
  private prepaidState = emptyPrepaidState();
  private readonly handlers: CommandHandlers = {
    putConfiguration: command => this.putConfiguration(command),
    recordUsage: (command, now) =>
      recordUsage(
        this.prepaidState,
        upgradeUsage(command),
        name => this.prepaidOf(name),
        now,
      ),
    noteServers: ({records}, now) => this.recordServers(records, now),
    noteStreams: ({streams}, now) => {
      this.streams.record(streams, now);
      return null;
    },
    blockPart: (command, now) => {
      const blocked = this.blockedPartList.block(command, now);
      this.notify(to => to.onBlockedPart?.(command.part, blocked));
      return blocked;
    },
    unblockPart: ({part}) => {
      const wasBlocked = this.blockedPartList.unblock(part);
      if (wasBlocked) this.notify(to => to.onBlockedPart?.(part, undefined));
      return wasBlocked;
    },
    startEvacuation: (command, now) =>
      this.changeEvacuations(list => list.start(command, now)),
    finishEvacuation: command =>
      this.changeEvacuations(list => list.finish(command)),
  };

  private readonly blockedPartList = new BlockedPartList();
  private readonly evacuationList = new EvacuationList();
  private servers = new Map<string, BackendServerRecord>();
  private readonly retired = new RetiredVersions();
  private readonly streams = new StreamVersions();
  /** Time of the newest entry by the log, in milliseconds. */
  private appliedAt = 0;
  /** The command that is being applied. */
  private applying?: Pick<FleetStateFailure, 'kind' | 'index'>;

  constructor(private readonly listener?: FleetListener) {}

  /** The active configuration; undefined before the first one. */
  get current(): ActiveConfiguration | undefined {
    return this.active;
  }

  /** Prepaid accounts and router incarnations; changed by `apply`. */
  get prepaid(): Readonly<PrepaidState> {
    return this.prepaidState;
  }

  /** Backend servers by id, also those that left; changed by `apply`. */
  get backendServers(): ReadonlyMap<string, BackendServerRecord> {
    return this.servers;
  }

  /** Whether the log has a server's incarnation with its software version. */
  hasServer(record: BackendServerRecord): boolean {
    const recorded = this.servers.get(record.id);
    return recorded !== undefined && isSameSoftware(recorded, record);
  }

  /** Streams that servers have begun; changed by `apply`. */
  get streamVersions(): Pick<StreamVersions, 'find'> {
    return this.streams;
  }

  /**
   * Software versions of a service that servers had within a time, and have no
   * more. The time by the log never runs ahead, so none is missing.
   */
  retiredVersions(service: string, milliseconds: number): string[] {
    return this.retired.since(service, this.appliedAt - milliseconds);
  }

  /** Parts of prompts that crash backend servers; changed by `apply`. */
  get blockedParts(): Pick<BlockedPartList, 'state' | 'find'> {
    return this.blockedPartList;
  }

  /** Evacuated failure domains; changed by `apply`. */
  get evacuations(): Evacuations {
    return this.evacuationList.state;
  }

  /**
   * Prepaid total of a workspace in tokens; Infinity where it is unlimited, 0
   * for an unknown workspace.
   */
  prepaidOf(workspace: string): number {
    const known = this.active?.configuration.workspaces?.find(
      ({name}) => name === workspace,
    );
    if (known === undefined) return 0;
    return known.prepaidTokens ?? Infinity;
  }

  /**
   * Applies a log entry, and returns the result of each command, or the error of a
   * command that failed. A committed command can't be taken out of the log, so one
   * that fails must not keep the replicas from applying what follows.
   *
   * @throws If a command is of an unknown kind, as a later version wrote it.
   */
  apply({index, timestamp, commands = []}: Entry): unknown[] {
    this.appliedAt = Math.max(this.appliedAt, timestamp);
    return commands.map(command => {
      const {kind} = command as FleetCommand;
      if (!Object.hasOwn(this.handlers, kind)) {
        throw new TypeError(`unknown command ${String(kind)} at ${index}`);
      }
      const handler = this.handlers[kind] as (
        command: unknown,
        now: number,
      ) => unknown;
      this.applying = {kind, index};
      try {
        return handler(command, timestamp);
      } catch (cause) {
        return this.reportFailure(cause, false);
      } finally {
        this.applying = undefined;
      }
    });
  }

  /** Returns the state as a JSON value, for `restore`. */
  snapshot(): unknown {
    const servers = [...this.servers.values()];
    return {
      version: stateVersion,
      held: this.active,
      book: this.prepaidState,
      servers,
      blockedParts: this.blockedPartList.state,
      streams: this.streams.snapshot(),
      retiredVersions: this.retired.snapshot(),
      evacuations: this.evacuationList.state,
    } satisfies Snapshot;
  }

  /**
   * Replaces the state by a snapshot, upgraded from an earlier version if needed.
   *
   * @throws UnknownStateVersion if a later version wrote the snapshot.
   */
  restore(snapshot: unknown): void {
    const copy = structuredClone(snapshot) as Snapshot;
    const {version, held, book, servers, blockedParts} = copy;
    const {streams = [], retiredVersions = []} = copy;
    const {evacuations = noEvacuations} = copy;
    this.streams.restore(streams);
    this.retired.restore(retiredVersions);
    this.prepaidState = upgradePrepaidState(book, version);
    this.active = held;
    this.blockedPartList.restore(blockedParts ?? {revision: 0, parts: []});
    this.evacuationList.restore(evacuations);
    this.servers = new Map(servers.map(record => [record.id, record]));
    this.notify(to => to.onEvacuations?.(evacuations));
    if (held !== undefined) {
      this.notify(to => to.onConfiguration(held.configuration));
    }
    this.notify(to => to.onServers(servers));
  }

  /** Calls the listener; its errors don't affect the state. */
  private notify(call: (listener: FleetListener) => void): void {
    if (this.listener === undefined) return;
    try {
      call(this.listener);
    } catch (cause) {
      this.reportFailure(cause, true);
    }
  }

  private reportFailure(cause: unknown, isApplied: boolean): Error {
    const error = cause instanceof Error ? cause : new Error(String(cause));
    this.listener?.onFailure?.({...this.applying, isApplied, error});
    return error;
  }

  private putConfiguration({
    configuration,
    source,
  }: PutConfiguration): PutOutcome {
    const activeVersion = this.active?.configuration.version ?? 0;
    if (this.active !== undefined && configuration.version <= activeVersion) {
      return {kind: 'notNewer', version: activeVersion};
    }
    this.active = {configuration, source};
    this.notify(to => to.onConfiguration(configuration));
    return {kind: 'accepted', version: configuration.version};
  }

  private changeEvacuations(
    change: (list: EvacuationList) => EvacuationOutcome,
  ): EvacuationOutcome {
    const outcome = change(this.evacuationList);
    const isRecorded =
      outcome.kind === 'changed' || outcome.kind === 'unchanged';
    if (isRecorded) {
      this.notify(to => to.onEvacuations?.(this.evacuations));
    }
    return outcome;
  }

  private recordServers(records: BackendServerRecord[], now: number): null {
    for (const record of records) {
      const known = this.servers.get(record.id);
      if (known !== undefined && !isNewerRecord(record, known)) continue;
      this.servers.delete(record.id);
      this.servers.set(record.id, record);
      this.retired.observe(known, record, now);
    }
    const ids = [...this.servers.keys()];
    const departed = ids.filter(id => this.hasLeft(id));
    const present = ids.filter(id => !this.hasLeft(id));
    this.removeOldest(departed, maxDepartedServers);
    this.removeOldest(present, maxServers);
    this.notify(to => to.onServers(records));
    return null;
  }

  private hasLeft(id: string): boolean {
    return this.servers.get(id)?.state === 'left';
  }

  /** Removes servers, given by age with the oldest first, above a limit. */
  private removeOldest(ids: readonly string[], limit: number): void {
    const excess = Math.max(0, ids.length - limit);
    for (const id of ids.slice(0, excess)) this.servers.delete(id);
  }
}
