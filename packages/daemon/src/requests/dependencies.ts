/**
 * @fileoverview Interfaces of the daemon that the request path depends on.
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

/**
 * Submits commands to the ledger's quorum. Rejects with
 * `QuorumUnreachableError` if it can't be reached.
 */
export interface LedgerSubmitter {
  submit(command: Command): Promise<Result>;
  /** Whether the last call reached the quorum. */
  readonly connected: boolean;
}

/** A request that is to be opened on a grant. */
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

/** Result of opening a request on a grant. */
export type GrantOpenResult =
  | {kind: 'opened'; grantId: string; sequence: number}
  | {kind: 'duplicate'; grantId: string; settled: boolean}
  | {kind: 'refused'; reason: string};

/** Grants that this instance may spend without the quorum. */
export interface GrantSpender {
  /** Resolves once the record is durable in the grant's journal. */
  open(opening: GrantOpenRequest): Promise<GrantOpenResult>;
  /** Records a settlement in the journal of a grant. */
  settle(
    grantId: string,
    sequence: number,
    settlement: JournalSettlement,
  ): Promise<void>;
  /** Records a customer's spending, by which grants are sized; in micros. */
  observe(customer: string, cost: number, reserved: number): void;
}

/** Looks up contracts by the hash of a workspace's key or by customer. */
export interface ContractSource {
  /** Returns the workspace with a key hash, and its contract. */
  byKeyHash(
    hash: string,
  ): Promise<{view: ContractView; workspace: Workspace} | undefined>;
  /** Fetches the newest contract of a customer. */
  refresh(customer: string): Promise<ContractView | undefined>;
}

/** Looks up the state of other instances. */
export interface InstanceSource {
  /** Whether the holder `name#incarnation` is still running. */
  isAlive(holder: string): boolean;
  /** Number of instances that serve callers now, this one included. */
  liveRouters(): number;
  /** Fetches the stored response of a complete request from its holder. */
  fetchAnswer(
    holder: string,
    requestKey: string,
  ): Promise<StoredAnswer | undefined>;
}

/** Dependencies of the request path. */
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
