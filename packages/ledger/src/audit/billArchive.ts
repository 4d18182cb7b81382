/** @fileoverview Compares archived bills with those of the history. */
import {type Bill} from '@dogwoodtrestle/schema';

import {type AuditFinding, createFinding} from './auditReport.js';

/**
 * Returns what differs between the bills of the history and the archive.
 *
 * @param historyBills Bills of the history by their names.
 * @param asOf Newest entry whose bills the archive must have.
 */
export function compareBills(
  historyBills: Map<string, Bill>,
  archive: Bill[],
  asOf: number,
): AuditFinding[] {
  const differences: AuditFinding[] = [];
  const missing = new Map(historyBills);
  for (const bill of archive) {
    const message = compareBill(bill, historyBills, missing);
    if (message !== undefined) differences.push(createFinding(bill, message));
  }
  for (const bill of missing.values()) {
    if (bill.index > asOf) continue;
    const message = `bill of ${bill.requestKey} is not archived`;
    differences.push(createFinding(bill, message));
  }
  return differences;
}

/**
 * Returns the name of a bill: its key and entry, since a key that was billed
 * nothing may be billed again in a later entry.
 */
export function billKey({requestKey, index}: Bill): string {
  return `${requestKey} ${index}`;
}

/** Compares an archived bill, and takes it off those that are missing. */
function compareBill(
  bill: Bill,
  historyBills: Map<string, Bill>,
  missing: Map<string, Bill>,
): string | undefined {
  const {requestKey, cost} = bill;
  const key = billKey(bill);
  const match = historyBills.get(key);
  if (match === undefined) {
    return `archived bill of ${requestKey} is not in the history`;
  }
  if (!missing.delete(key)) return `${requestKey} is archived twice`;
  if (match.cost === cost) return undefined;
  return `archived bill of ${requestKey} is ${cost}, the history gives ${match.cost}`;
}
