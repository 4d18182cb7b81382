/**
 * @fileoverview The replicated state of the fleet: its configuration and its
 * prepaid accounts.
 */
import {
  type Entry,
  type FleetCommand,
  type FleetConfiguration,
  type PutConfiguration,
} from '@dogwoodtrestle/schema';

import {emptyBook, type PrepaidBook, recordUsage} from './prepaidAccounts.js';

/** What came of a new configuration. */
export interface PutOutcome {
  kind: 'accepted' | 'notNewer';
  /** Version in force afterwards. */
  version: number;
}

/** The configuration in force, and the document that it was read from. */
export interface HeldConfiguration {
  configuration: FleetConfiguration;
  source: string;
}

interface Snapshot {
  held?: HeldConfiguration;
  book: PrepaidBook;
}

type CommandHandlers = {
  [K in FleetCommand['kind']]: (
    command: Extract<FleetCommand, {kind: K}>,
    now: number,
  ) => unknown;
};

/** Deterministic state machine that all replicas drive by the same entries. */
export class FleetState {
  private held?: HeldConfiguration;
  private book = emptyBook();
  private readonly handlers: CommandHandlers = {
    putConfiguration: command => this.putConfiguration(command),
    recordUsage: (command, now) =>
      recordUsage(this.book, command, name => this.prepaidOf(name), now),
  };

  /** @param onConfiguration Called when another configuration is in force. */
  constructor(
    private readonly onConfiguration: (
      configuration: FleetConfiguration,
    ) => void = () => undefined,
  ) {}

  get current(): HeldConfiguration | undefined {
    return this.held;
  }

  get prepaid(): Readonly<PrepaidBook> {
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
      const {kind} = command as unknown as FleetCommand;
      const handler = this.handlers[kind] as (
        command: unknown,
        now: number,
      ) => unknown;
      return handler(command, entry.timestamp);
    });
  }

  snapshot(): unknown {
    return {held: this.held, book: this.book} satisfies Snapshot;
  }

  restore(snapshot: unknown): void {
    const {held, book} = structuredClone(snapshot) as Snapshot;
    this.held = held;
    this.book = book;
    if (held !== undefined) this.onConfiguration(held.configuration);
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
    this.onConfiguration(configuration);
    return {kind: 'accepted', version: configuration.version};
  }
}
