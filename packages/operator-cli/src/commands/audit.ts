/**
 * @fileoverview `audit`: recomputes all balances from the committed history and
 * compares them with the budgets and bills that the cluster reports.
 */
import {setTimeout as sleep} from 'node:timers/promises';

import {type AuditReport, HistoryAuditor} from '@dogwoodtrestle/ledger';
import {type Bill} from '@dogwoodtrestle/schema';

import {type Context} from '../context.js';
import {CliError} from '../errors.js';
import {exitCodes} from '../exitCodes.js';
import {formatAmount} from '../output/units.js';
import {parseCount} from './changeOptions.js';
import {type CommandModule} from './commandModule.js';

interface AuditOptions {
  retention: number;
}

const entriesPerPage = 1000;
const billsPerPage = 10_000;
const maximumAttempts = 20;
const retryDelayMilliseconds = 250;
const millisecondsPerSecond = 1000;
const defaultRetentionSeconds = 3600;

export const audit: CommandModule = (parent, bind) => {
  parent
    .command('audit')
    .description('recompute every balance from the committed history')
    .option(
      '--retention <seconds>',
      "the daemons' ledger.requestRetentionSeconds",
      parseCount,
      defaultRetentionSeconds,
    )
    .action(bind(run));
};

async function run(context: Context, options: AuditOptions): Promise<void> {
  const history = new HistoryAuditor({
    requestRetentionMilliseconds: options.retention * millisecondsPerSecond,
  });
  const report = await auditRunningCluster(context, history);
  if (report.findings.length > 0) context.exitCode = exitCodes.findings;
  context.print(report, () => describe(report));
}

/**
 * Audits a cluster that keeps serving requests. Balances that change while they
 * are read are skipped, so budgets and bills are read again until every balance
 * has been compared, at most `maximumAttempts` times.
 */
async function auditRunningCluster(
  context: Context,
  history: HistoryAuditor,
): Promise<AuditReport> {
  const {client} = context;
  await addHistory(context, history, 0);
  for (let attempt = 1; ; attempt++) {
    const asOf = history.lastIndex;
    const budgets = await client.budgets();
    const bills = await readArchive(context);
    await addHistory(context, history, asOf);
    const report = history.finish({budgets, bills, asOf});
    const isDone = report.checked.balancesSkipped === 0;
    if (isDone || attempt === maximumAttempts) return report;
    await sleep(retryDelayMilliseconds);
  }
}

/** Adds the entries after an index and returns the index of the last one. */
async function addHistory(
  context: Context,
  history: HistoryAuditor,
  after: number,
): Promise<number> {
  let lastIndex = after;
  for (;;) {
    const page = await context.client.history(lastIndex, entriesPerPage);
    for (const entry of page) history.add(entry);
    lastIndex = page.at(-1)?.index ?? lastIndex;
    if (page.length < entriesPerPage) return lastIndex;
  }
}

/** Reads the whole bill archive in pages that end with a complete entry. */
async function readArchive(context: Context): Promise<Bill[]> {
  const archive: Bill[] = [];
  for (;;) {
    const after = archive.at(-1)?.index ?? 0;
    const page = await context.client.bills({after, limit: billsPerPage});
    if (page.length < billsPerPage) return [...archive, ...page];
    // The last entry may have more bills than fit the page, so it is read again.
    const lastIndex = page.at(-1)?.index;
    const billsOfWholeEntries = page.filter(bill => bill.index !== lastIndex);
    if (billsOfWholeEntries.length === 0) {
      throw new CliError(
        `log entry ${lastIndex} has at least ${billsPerPage} bills, which is too many for one page`,
      );
    }
    archive.push(...billsOfWholeEntries);
  }
}

function describe({checked, findings}: AuditReport): string {
  return [
    `checked ${checked.entries} entries with ${checked.commands} commands:`,
    `  ${checked.customers} customers, ${checked.contractVersions} contract versions, ${checked.topUps} top-ups`,
    `  ${checked.opens} opened requests, ${checked.grants} grants`,
    `  ${checked.bills} bills of ${formatAmount(checked.billedAmount)} in all`,
    `  ${checked.balances} balances compared, ${checked.balancesSkipped} skipped because they kept changing`,
    `  ${checked.archivedBills} archived bills compared`,
    findings.length === 0 ? 'no disagreement' : 'DISAGREEMENTS:',
    ...findings.map(
      ({customer, message}) => `  ${customer ?? 'all customers'}: ${message}`,
    ),
  ].join('\n');
}
