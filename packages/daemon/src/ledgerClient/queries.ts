/**
 * @fileoverview Input and answer types of linearizable queries.
 */
import {
  type CustomerGrant,
  type OpenRequestRecord,
  type SettledRequestRecord,
} from '@dogwoodtrestle/ledger';
import {
  type Bill,
  type BudgetView,
  type ChangeResult,
  type ChangeView,
  type ContractView,
  type Entry,
  type QueryInput,
  type QueryName,
} from '@dogwoodtrestle/schema';

/** Answer of each query; undefined if nothing was found. */
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
  history: Entry[];
  openRequests: OpenRequestRecord[];
  request: OpenRequestRecord | SettledRequestRecord | undefined;
}

/** Answer of one query. */
export type QueryAnswer<Q extends QueryName> = QueryAnswers[Q];

export type {QueryInput, QueryName};
