/** @fileoverview Public API of the package. */
export {
  classifyChange,
  type ChangeDirection,
  type FieldChange,
  compareContracts,
} from './changeDirection.js';
export {checkContract, maxBudgetMicros} from './checkContract.js';
export {InvariantViolation, LedgerError} from './errors.js';
export {selectGrantsToRecall} from './grantsToRecall.js';
export {type GrantDemand, sizeGrant} from './grantSizing.js';
export {type CommandContext, type CustomerGrant, Ledger} from './ledger.js';
export {defaultOptions, type LedgerOptions} from './ledgerOptions.js';
export {type LedgerSnapshot} from './ledgerSnapshot.js';
export {
  type OpenRequestRecord,
  type SettledRequestRecord,
} from './requestStore.js';
export {scopedKey} from './util/scopedKey.js';
export {auditHistory, HistoryAuditor} from './audit/auditHistory.js';
export {
  type AuditCounts,
  type AuditEvidence,
  type AuditFinding,
  type AuditReport,
  type HistoryEntry,
} from './audit/auditReport.js';
