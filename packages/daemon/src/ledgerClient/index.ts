/** @fileoverview Client of the ledger. */
export {
  type LedgerCalls,
  LedgerClient,
  type LedgerClientOptions,
} from './ledgerClient.js';
export {
  type QueryAnswer,
  type QueryAnswers,
  type QueryInput,
  type QueryName,
} from './queries.js';
export {
  QuorumUnreachableError,
  type UnreachableOutcome,
} from './quorumUnreachableError.js';
