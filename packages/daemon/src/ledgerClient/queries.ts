/**
 * @fileoverview Inputs and answers of the linearizable queries.
 */
import {
  type Bill,
  type BudgetView,
  type ChangeResult,
  type ChangeView,
  type ContractView,
  type DuplicateResult,
  type GrantView,
  type QueryInput,
  type QueryName,
} from '@dogwoodtrestle/schema';

/** A request that is open, as the ledger knows it. */
export interface OpenRequestView {
  requestKey: string;
  customer: string;
  workspace: string;
  holder: string;
  attempt: number;
  idempotent: boolean;
  /** Ledger time in milliseconds. */
  openedAt: number;
  unknownCost: number;
}

/** A committed log entry, as shown to auditors. */
export interface HistoryEntry {
  index: number;
  term: number;
  /** Ledger time in milliseconds. */
  timestamp: number;
  kind: string;
  commands?: unknown[];
  members?: unknown[];
}

/** A grant and the customer whose balance it came from. */
export interface CustomerGrant extends GrantView {
  customer: string;
}

/** Answer of each query; undefined where nothing was found. */
export interface QueryAnswers {
  bills: Bill[];
  budget: BudgetView | undefined;
  budgets: BudgetView[];
  change: ChangeResult | undefined;
  contract: ContractView | undefined;
  contractByKeyHash: ContractView | undefined;
  contractHistory: ChangeView[];
  contracts: ContractView[];
  grants: CustomerGrant[];
  history: HistoryEntry[];
  openRequests: OpenRequestView[];
  request: DuplicateResult | undefined;
}

/** Answer of one query. */
export type QueryAnswer<Q extends QueryName> = QueryAnswers[Q];

export type {QueryInput, QueryName};
