/** @fileoverview Input and report of an audit. */
import {type Bill, type BudgetView} from '@dogwoodtrestle/schema';

/** Committed entry of the replicated log. */
export interface HistoryEntry {
  index: number;
  term: number;
  timestamp: number;
  kind: string;
  commands?: unknown[];
}

/** Discrepancy, with the customer and the entry that it concerns. */
export interface AuditFinding {
  customer?: string;
  /**
   * Log index of the entry; for a balance, of the last entry that changed the
   * customer's amounts.
   */
  index?: number;
  message: string;
}

/** Numbers of items that an audit has checked. */
export interface AuditCounts {
  entries: number;
  commands: number;
  customers: number;
  contractVersions: number;
  topUps: number;
  opens: number;
  grants: number;
  bills: number;
  /** Sum of all bills in micros. */
  billedAmount: number;
  balances: number;
  /** Balances skipped because they changed while they were read. */
  balancesSkipped: number;
  archivedBills: number;
}

/** Result of an audit. */
export interface AuditReport {
  checked: AuditCounts;
  findings: AuditFinding[];
}

/** Data that the history is compared with. */
export interface AuditEvidence {
  /** Balances as reported by the cluster. */
  budgets: BudgetView[];
  /** Archived bills; bills are not compared if omitted. */
  bills?: Bill[];
  /**
   * Log index of the last entry read before the balances and bills were
   * requested from a running cluster. Balances changed by later entries are
   * skipped.
   */
  asOf?: number;
}

/** Counts before anything has been checked. */
export const emptyCounts: AuditCounts = {
  entries: 0,
  commands: 0,
  customers: 0,
  contractVersions: 0,
  topUps: 0,
  opens: 0,
  grants: 0,
  bills: 0,
  billedAmount: 0,
  balances: 0,
  balancesSkipped: 0,
  archivedBills: 0,
};

/** Returns a finding that concerns a log entry. */
export function createFinding(
  {index, customer}: {index: number; customer?: string},
  message: string,
): AuditFinding {
  return {
    ...(customer === undefined ? {} : {customer}),
    index,
    message: `entry ${index}: ${message}`,
  };
}
