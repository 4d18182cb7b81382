/** @fileoverview `bills`: lists bills as a table, CSV or JSON. */
import {type Bill} from '@dogwoodtrestle/schema';
import {Option} from 'commander';

import {type BillFilter} from '../client/operatorClient.js';
import {type Context} from '../context.js';
import {renderCsv} from '../output/csv.js';
import {type Column, renderTable} from '../output/table.js';
import {formatAmount, formatTime, parseTime} from '../output/units.js';
import {parseCount} from './changeOptions.js';
import {type CommandModule} from './commandModule.js';

interface BillOptions {
  since?: string;
  customer?: string;
  limit?: number;
  format: BillFormat;
}

const columns: ReadonlyArray<Column<Bill>> = [
  {heading: 'settled', cell: bill => formatTime(bill.settledAt)},
  {heading: 'customer', cell: bill => bill.customer},
  {heading: 'workspace', cell: bill => bill.workspace},
  {heading: 'target', cell: bill => bill.target.name},
  {
    heading: 'input',
    cell: bill => bill.usage?.inputTokens ?? '',
    align: 'right',
  },
  {
    heading: 'output',
    cell: bill => bill.usage?.outputTokens ?? '',
    align: 'right',
  },
  {heading: 'cost', cell: bill => formatAmount(bill.cost), align: 'right'},
  {heading: 'outcome', cell: bill => bill.outcome},
  {heading: 'request', cell: bill => bill.requestKey},
];

/** Columns of the CSV, with the details that an audit of a bill needs. */
const auditColumns: ReadonlyArray<Column<Bill>> = [
  ...columns,
  {heading: 'attempt', cell: bill => bill.attempt},
  {heading: 'attempts', cell: bill => bill.attempts ?? ''},
  {heading: 'contractVersion', cell: bill => bill.contractVersion},
  {heading: 'inputPrice', cell: bill => bill.inputPrice},
  {heading: 'outputPrice', cell: bill => bill.outputPrice},
  {heading: 'instance', cell: bill => bill.instance},
  {heading: 'backend', cell: bill => bill.backend ?? ''},
  {heading: 'grant', cell: bill => bill.grantId ?? ''},
  {heading: 'trace', cell: bill => bill.traceId},
  {heading: 'index', cell: bill => bill.index},
];

const formats = {
  table: (bills: Bill[]) => renderTable(columns, bills),
  csv: (bills: Bill[]) => renderCsv(auditColumns, bills),
  json: (bills: Bill[]) => JSON.stringify(bills, undefined, 2),
};

type BillFormat = keyof typeof formats;

export const bills: CommandModule = (parent, bind) => {
  parent
    .command('bills')
    .description('list bills')
    .option('--since <time>', 'ISO 8601, or an age such as 15m or 7d')
    .option('--customer <name>')
    .option(
      '--limit <number>',
      'largest number of bills, oldest first',
      parseCount,
    )
    .addOption(
      new Option('--format <format>')
        .choices(Object.keys(formats))
        .default('table'),
    )
    .action(bind(list));
};

async function list(context: Context, options: BillOptions): Promise<void> {
  const filter: BillFilter = {
    customer: options.customer,
    limit: options.limit,
    since: options.since === undefined ? undefined : parseTime(options.since),
  };
  const matchingBills = await context.client.bills(filter);
  context.print(matchingBills, () => formats[options.format](matchingBills));
}
