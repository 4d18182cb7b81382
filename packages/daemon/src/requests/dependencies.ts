/**
 * @fileoverview What the request path needs from the rest of the daemon.
 */
import {type BackendDirectory} from '@dogwoodtrestle/routing';
import {
  type Command,
  type ContractView,
  type JournalSettlement,
  type Result,
  type Settings,
  type StoredAnswer,
  type Target,
  type Workspace,
} from '@dogwoodtrestle/schema';

import {type Logger} from '../observability/logger.js';
import {type Metrics} from '../observability/metrics.js';
import {type Tracing} from '../observability/tracing.js';

/** Way to the ledger's quorum. Rejects `QuorumUnreachableError`. */
export interface LedgerSubmitter {
  submit(command: Command): Promise<Result>;
  readonly connected: boolean;
}

/** A request to open on a grant. */
export interface GrantOpenRequest {
  requestKey: string;
  fingerprint: string;
  customer: string;
  workspace: string;
  target: Target;
  maximumCost: number;
  contractVersion: number;
  traceId: string;
}

/** Answer to the opening of a request on a grant. */
export type GrantOpenResult =
  | {kind: 'opened'; grantId: string; sequence: number}
  | {kind: 'duplicate'; grantId: string; settled: boolean}
  | {kind: 'refused'; reason: string};

/** Grants that this instance may spend without the quorum. */
export interface GrantSpender {
  /** Resolves once the record is durable in the grant's journal. */
  open(opening: GrantOpenRequest): Promise<GrantOpenResult>;
  settle(
    grantId: string,
    sequence: number,
    settlement: JournalSettlement,
  ): Promise<void>;
  /** Tells of spending, so that grants are sized by demand. */
  observe(customer: string, cost: number, reserved: number): void;
}

/** Contracts in force, by the hash of a workspace's key. */
export interface ContractSource {
  byKeyHash(
    hash: string,
  ): Promise<{view: ContractView; workspace: Workspace} | undefined>;
  refresh(customer: string): Promise<ContractView | undefined>;
}

/** What is known of the other instances. */
export interface InstanceSource {
  /** Whether the holder `name#incarnation` is still running. */
  isAlive(holder: string): boolean;
  /** Number of instances that serve callers now, this one included. */
  liveRouters(): number;
  /** Fetches the kept answer of a finished request from its holder. */
  fetchAnswer(
    holder: string,
    requestKey: string,
  ): Promise<StoredAnswer | undefined>;
}

/** Everything that a request is served with. */
export interface RequestDependencies {
  settings: Settings;
  /** Identity of this process: `name#incarnation`. */
  holder: string;
  logger: Logger;
  metrics: Metrics;
  tracing: Tracing;
  ledger: LedgerSubmitter;
  grants: GrantSpender;
  contracts: ContractSource;
  instances: InstanceSource;
  directory: BackendDirectory;
  /** Monotonic time in milliseconds. */
  now: () => number;
}
