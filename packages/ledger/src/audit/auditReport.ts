/** @fileoverview What an audit reads and what it reports. */
import {type Bill, type BudgetView} from '@dogwoodtrestle/schema';

/** A committed entry of the replicated log. */
export interface HistoryEntry {
  index: number;
  term: number;
  timestamp: number;
  kind: string;
  commands?: unknown[];
}

/** A disagreement, with the customer and the entry that it is about. */
export interface AuditFinding {
  customer?: string;
  /** Log index of the entry; the newest that touched the customer's money. */
  index?: number;
  message: string;
}

/** How much an audit has looked at. */
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
  /** Balances that changed while they were read. */
  balancesSkipped: number;
  archivedBills: number;
}

/** Outcome of an audit. */
export interface AuditReport {
  checked: AuditCounts;
  findings: AuditFinding[];
}

/** What the history is compared with. */
export interface AuditEvidence {
  /** Balances, as they are shown. */
  budgets: BudgetView[];
  /** The bill archive; bills are not compared where it is left out. */
  bills?: Bill[];
  /**
   * Index of the newest entry that had been read before the balances and bills
   * were asked for, where the cluster went on working. Balances that later
   * entries touched are skipped.
   */
  asOf?: number;
}

/** Counts of an audit that has looked at nothing. */
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

/** Returns a finding about an entry. */
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
