/**
 * @fileoverview Answers queries from the local ledger state.
 */
import {type Replica} from '@dogwoodtrestle/consensus';
import {type Ledger} from '@dogwoodtrestle/ledger';

import {
  type QueryAnswer,
  type QueryInput,
  type QueryName,
} from '../ledgerClient/queries.js';
import {type BillArchive} from './billArchive.js';

/** Sources of query answers. */
export interface QuerySources {
  ledger: Ledger;
  bills: BillArchive;
  replica: Pick<Replica, 'history'>;
}

type QueryHandlers = {
  [Q in QueryName]: (
    sources: QuerySources,
    input: QueryInput,
  ) => QueryAnswer<Q> | Promise<QueryAnswer<Q>>;
};

const defaultHistoryLimit = 1000;

/** Handler of each query. */
const handlers: QueryHandlers = {
  bills: ({bills}, input) => bills.read(input),
  budget: ({ledger}, {customer = ''}) => ledger.budget(customer),
  budgets: ({ledger}) => ledger.budgets(),
  change: ({ledger}, {changeId = ''}) => ledger.change(changeId),
  contract: ({ledger}, {customer = ''}) => ledger.contract(customer),
  contractByKeyHash: ({ledger}, {keyHash = ''}) =>
    ledger.contractByKeyHash(keyHash),
  contractHistory: ({ledger}, {customer = ''}) =>
    ledger.contractHistory(customer),
  contracts: ({ledger}) => ledger.contracts(),
  grants: ({ledger}) => ledger.grants(),
  history: ({replica}, {after = 0, limit = defaultHistoryLimit}) =>
    replica.history(after, limit),
  openRequests: ({ledger}) => ledger.openRequests(),
  request: ({ledger}, {requestKey = ''}) => ledger.request(requestKey),
};

/** Runs one query. */
export async function answerQuery<Q extends QueryName>(
  name: Q,
  sources: QuerySources,
  input: QueryInput,
): Promise<QueryAnswer<Q>> {
  return handlers[name](sources, input);
}
