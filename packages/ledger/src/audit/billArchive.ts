/** @fileoverview Compares archived bills with the bills of the history. */
import {type Bill} from '@dogwoodtrestle/schema';

import {type AuditFinding, createFinding} from './auditReport.js';

/**
 * Returns the differences between the bills of the history and the archive.
 *
 * @param historyBills Bills of the history by `billKey`.
 * @param asOf Log index up to which the archive must be complete.
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
 * Returns a unique key of a bill: its request key and log index, since a
 * request that was billed 0 may be billed again in a later entry.
 */
export function billKey({requestKey, index}: Bill): string {
  return `${requestKey} ${index}`;
}

/** Compares an archived bill and removes it from the missing bills. */
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
