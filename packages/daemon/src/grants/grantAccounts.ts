/**
 * @fileoverview Submits the journal records of a grant to the ledger for billing.
 */
import {type JournalRecord, type Result} from '@dogwoodtrestle/schema';

import {type LedgerClient} from '../ledgerClient/ledgerClient.js';

/** Maximum number of records per command. */
const maxRecordsPerCommand = 200;

/** Amounts billed and returned when a grant is closed, in micros. */
export interface GrantTotals {
  billed: number;
  returned: number;
}

/** Bills settled records of a grant that stays open; returns the micros. */
export async function mergeRecords(
  ledgerClient: Pick<LedgerClient, 'submit'>,
  grantId: string,
  records: JournalRecord[],
): Promise<number> {
  let billed = 0;
  for (let start = 0; start < records.length; start += maxRecordsPerCommand) {
    const result = await ledgerClient.submit({
      kind: 'mergeJournal',
      grantId,
      records: records.slice(start, start + maxRecordsPerCommand),
    });
    billed += totalsOf(result).billed;
  }
  return billed;
}

/**
 * Closes a grant. Records without a settlement are billed their unknown cost.
 * For a grant that the ledger doesn't know, both amounts are 0.
 */
export async function returnGrant(
  ledgerClient: Pick<LedgerClient, 'submit'>,
  grantId: string,
  records: JournalRecord[],
): Promise<GrantTotals> {
  const settled = records.filter(({settlement}) => settlement !== undefined);
  const unsettled = records.filter(({settlement}) => settlement === undefined);
  const merged = await mergeRecords(ledgerClient, grantId, settled);
  const result = await ledgerClient.submit({
    kind: 'returnGrant',
    grantId,
    records: unsettled,
  });
  const {billed, returned} = totalsOf(result);
  return {billed: merged + billed, returned};
}

function totalsOf(result: Result): GrantTotals {
  return result.kind === 'merged' ? result : {billed: 0, returned: 0};
}
