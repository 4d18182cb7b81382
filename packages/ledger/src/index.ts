/** @fileoverview Face of the package; see its README. */
export {
  changeDirection,
  type Direction,
  type FieldChange,
  fieldChanges,
} from './changeDirection.js';
export {checkContract, maximumBudget} from './checkContract.js';
export {InvariantBreach, LedgerError} from './errors.js';
export {grantsToRecall} from './grantsToRecall.js';
export {type GrantDemand, sizeGrant} from './grantSizing.js';
export {type CommandContext, type CustomerGrant, Ledger} from './ledger.js';
export {defaultOptions, type LedgerOptions} from './ledgerOptions.js';
export {type LedgerSnapshot} from './ledgerSnapshot.js';
export {
  type OpenRequestRecord,
  type SettledRequestRecord,
} from './requestBook.js';
export {scopedKey} from './util/scopedKey.js';
export {auditHistory, HistoryAudit} from './audit/auditHistory.js';
export {
  type AuditCounts,
  type AuditEvidence,
  type AuditFinding,
  type AuditReport,
  type HistoryEntry,
} from './audit/auditReport.js';
