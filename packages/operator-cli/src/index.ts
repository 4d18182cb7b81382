/**
 * @fileoverview Public API of the package: `dogwoodctl` and its client of the
 * operator API.
 */
export {
  type BillFilter,
  type ChangeMetadata,
  type HistoryEntry,
  OperatorClient,
} from './client/operatorClient.js';
export {keyHashOf} from './commands/keyNew.js';
export {
  CliError,
  OutcomeUnknownError,
  RefusedError,
  UnreachableError,
  UsageError,
} from './errors.js';
export {type ExitCode, exitCodes} from './exitCodes.js';
export {main} from './main.js';
