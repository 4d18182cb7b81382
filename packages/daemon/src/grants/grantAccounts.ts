/**
 * @fileoverview Hands the records of a grant to the ledger.
 */
import {type JournalRecord, type Result} from '@dogwoodtrestle/schema';

import {type LedgerClient} from '../ledgerClient/ledgerClient.js';

/** Records that one command carries at most. */
const recordsPerCommand = 200;

/** What came of a final account; amounts in micros. */
export interface GrantTotals {
  billed: number;
  returned: number;
}

/** Bills settled records of a grant that stays in use. */
export async function mergeRecords(
  ledgerClient: Pick<LedgerClient, 'submit'>,
  grantId: string,
  records: JournalRecord[],
): Promise<number> {
  let billed = 0;
  for (let start = 0; start < records.length; start += recordsPerCommand) {
    const result = await ledgerClient.submit({
      kind: 'mergeJournal',
      grantId,
      records: records.slice(start, start + recordsPerCommand),
    });
    billed += accountOf(result).billed;
  }
  return billed;
}

/**
 * Gives the final account of a grant. Records without a settlement are billed
 * their unknown cost. A grant that the ledger doesn't know has no account.
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
  const {billed, returned} = accountOf(result);
  return {billed: merged + billed, returned};
}

function accountOf(result: Result): GrantTotals {
  return result.kind === 'merged' ? result : {billed: 0, returned: 0};
}
