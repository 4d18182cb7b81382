/**
 * @fileoverview The replicated state of the fleet: its configuration, its
 * prepaid accounts, and the backend servers that announced themselves.
 */
import {
  type BackendServerRecord,
  type Entry,
  type FleetCommand,
  type FleetConfiguration,
  type PutConfiguration,
} from '@dogwoodtrestle/schema';

import {
  emptyPrepaidState,
  type PrepaidState,
  recordUsage,
} from './prepaidAccounts.js';
import {
  stateVersion,
  upgradePrepaidState,
  upgradeUsage,
} from './stateVersions.js';

/** What came of a new configuration. */
export interface PutOutcome {
  kind: 'accepted' | 'notNewer';
  /** Version in force afterwards. */
  version: number;
}

/** The configuration in force, and the document that it was read from. */
export interface ActiveConfiguration {
  configuration: FleetConfiguration;
  source: string;
}

interface Snapshot {
  /** Missing in the first version. */
  version?: number;
  held?: ActiveConfiguration;
  book: PrepaidState;
  servers: BackendServerRecord[];
}

type CommandHandlers = {
  [K in FleetCommand['kind']]: (
    command: Extract<FleetCommand, {kind: K}>,
    now: number,
  ) => unknown;
};

/** What the process hears of changes of the state. */
export interface FleetListener {
  onConfiguration(configuration: FleetConfiguration): void;
  onServers(records: readonly BackendServerRecord[]): void;
}

/** Servers that are remembered; the ones noted first are dropped. */
const maxServers = 5_000;

/** Deterministic state machine that all replicas drive by the same entries. */
export class FleetState {
  private held?: ActiveConfiguration;
  private book = emptyPrepaidState();
  private readonly handlers: CommandHandlers = {
    putConfiguration: command => this.putConfiguration(command),
    recordUsage: (command, now) =>
      recordUsage(
        this.book,
        upgradeUsage(command),
        name => this.prepaidOf(name),
        now,
      ),
    noteServers: ({records}) => this.noteServers(records),
  };

  private servers = new Map<string, BackendServerRecord>();

  constructor(private readonly listener?: FleetListener) {}

  get current(): ActiveConfiguration | undefined {
    return this.held;
  }

  get prepaid(): Readonly<PrepaidState> {
    return this.book;
  }

  /** Prepaid total of a workspace; Infinity where there is no bound. */
  prepaidOf(workspace: string): number {
    const known = this.held?.configuration.workspaces?.find(
      ({name}) => name === workspace,
    );
    if (known === undefined) return 0;
    return known.prepaidTokens ?? Infinity;
  }

  apply(entry: Entry): unknown[] {
    return (entry.commands ?? []).map(command => {
      const {kind} = command as FleetCommand;
      const handler = this.handlers[kind] as (
        command: unknown,
        now: number,
      ) => unknown;
      return handler(command, entry.timestamp);
    });
  }

  snapshot(): unknown {
    const servers = [...this.servers.values()];
    return {
      version: stateVersion,
      held: this.held,
      book: this.book,
      servers,
    } satisfies Snapshot;
  }

  /** @throws UnknownStateVersion where a later version wrote the snapshot. */
  restore(snapshot: unknown): void {
    const copy = structuredClone(snapshot) as Snapshot;
    const {version, held, book, servers} = copy;
    this.book = upgradePrepaidState(book, version);
    this.held = held;
    this.servers = new Map(servers.map(record => [record.id, record]));
    if (held !== undefined) {
      this.listener?.onConfiguration(held.configuration);
    }
    this.listener?.onServers(servers);
  }

  private putConfiguration({
    configuration,
    source,
  }: PutConfiguration): PutOutcome {
    const heldVersion = this.held?.configuration.version ?? 0;
    if (this.held !== undefined && configuration.version <= heldVersion) {
      return {kind: 'notNewer', version: heldVersion};
    }
    this.held = {configuration, source};
    this.listener?.onConfiguration(configuration);
    return {kind: 'accepted', version: configuration.version};
  }

  private noteServers(records: BackendServerRecord[]): null {
    for (const record of records) {
      this.servers.delete(record.id);
      if (record.state !== 'left') this.servers.set(record.id, record);
    }
    while (this.servers.size > maxServers) {
      const [oldest] = this.servers.keys();
      this.servers.delete(oldest ?? '');
    }
    this.listener?.onServers(records);
    return null;
  }
}
