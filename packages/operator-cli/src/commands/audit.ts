/**
 * @fileoverview `audit`: recomputes every balance from the committed history
 * and compares it with what the cluster shows.
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

const pageEntries = 1000;
const pageBills = 10_000;
const maximumTries = 20;
const pauseMilliseconds = 250;
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
  const report = await auditLive(context, history);
  if (report.findings.length > 0) context.exitCode = exitCodes.findings;
  context.print(report, () => describe(report));
}

/**
 * Audits while the cluster goes on working: what changes while it is read is
 * read again, until every balance has been compared or the tries are used up.
 */
async function auditLive(
  context: Context,
  history: HistoryAuditor,
): Promise<AuditReport> {
  const {client} = context;
  await readHistory(context, history, 0);
  for (let tries = 1; ; tries++) {
    const asOf = history.lastIndex;
    const budgets = await client.budgets();
    const bills = await readArchive(context);
    await readHistory(context, history, asOf);
    const report = history.finish({budgets, bills, asOf});
    const isDone = report.checked.balancesSkipped === 0;
    if (isDone || tries === maximumTries) return report;
    await sleep(pauseMilliseconds);
  }
}

/** Enters the entries after an index and returns the index of the last one. */
async function readHistory(
  context: Context,
  history: HistoryAuditor,
  after: number,
): Promise<number> {
  let last = after;
  for (;;) {
    const page = await context.client.history(last, pageEntries);
    for (const entry of page) history.add(entry);
    last = page.at(-1)?.index ?? last;
    if (page.length < pageEntries) return last;
  }
}

/** Reads the whole bill archive by pages of whole entries. */
async function readArchive(context: Context): Promise<Bill[]> {
  const archive: Bill[] = [];
  for (;;) {
    const after = archive.at(-1)?.index ?? 0;
    const page = await context.client.bills({after, limit: pageBills});
    if (page.length < pageBills) return [...archive, ...page];
    // The last entry's bills may go on after the page, so they are read again.
    const last = page.at(-1)?.index;
    const whole = page.filter(bill => bill.index !== last);
    if (whole.length === 0) {
      throw new CliError(`entry ${last} made ${pageBills} bills or more`);
    }
    archive.push(...whole);
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
