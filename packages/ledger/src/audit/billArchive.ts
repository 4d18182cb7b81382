/** @fileoverview Compares archived bills with those of the history. */
import {type Bill} from '@dogwoodtrestle/schema';

import {type AuditFinding, findingOf} from './auditReport.js';

/**
 * Returns what differs between the bills of the history and the archive.
 *
 * @param made Bills of the history by their names.
 * @param asOf Newest entry whose bills the archive must have.
 */
export function compareBills(
  made: Map<string, Bill>,
  archive: Bill[],
  asOf: number,
): AuditFinding[] {
  const differences: AuditFinding[] = [];
  const missing = new Map(made);
  for (const bill of archive) {
    const message = billDifference(bill, made, missing);
    if (message !== undefined) differences.push(findingOf(bill, message));
  }
  for (const bill of missing.values()) {
    if (bill.index > asOf) continue;
    const message = `bill of ${bill.requestKey} is not archived`;
    differences.push(findingOf(bill, message));
  }
  return differences;
}

/**
 * Returns the name of a bill: its key and entry, since a key that was billed
 * nothing may be billed again in a later entry.
 */
export function billName({requestKey, index}: Bill): string {
  return `${requestKey} ${index}`;
}

/** Compares an archived bill, and takes it off those that are missing. */
function billDifference(
  bill: Bill,
  made: Map<string, Bill>,
  missing: Map<string, Bill>,
): string | undefined {
  const {requestKey, cost} = bill;
  const name = billName(bill);
  const match = made.get(name);
  if (match === undefined) {
    return `archived bill of ${requestKey} is not in the history`;
  }
  if (!missing.delete(name)) return `${requestKey} is archived twice`;
  if (match.cost === cost) return undefined;
  return `archived bill of ${requestKey} is ${cost}, the history gives ${match.cost}`;
}
