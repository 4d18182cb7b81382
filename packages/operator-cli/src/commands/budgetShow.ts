/** @fileoverview `budget show`: shows the budget of one customer or of all. */
import {type BudgetView} from '@dogwoodtrestle/schema';

import {type Context} from '../context.js';
import {type Column, renderTable} from '../output/table.js';
import {formatAmount, formatTime} from '../output/units.js';
import {type CommandModule} from './commandModule.js';

const amounts = [
  'prepaid',
  'toppedUp',
  'billed',
  'reserved',
  'granted',
  'available',
] as const;

const columns: ReadonlyArray<Column<BudgetView>> = [
  {heading: 'CUSTOMER', cell: view => view.customer},
  ...amounts.map((name): Column<BudgetView> => ({
    heading: name.toUpperCase(),
    cell: view => formatAmount(view[name]),
    align: 'right',
  })),
  {heading: 'CURRENCY', cell: view => view.currency},
  {heading: 'OPEN', cell: view => view.openRequests, align: 'right'},
];

export const budgetShow: CommandModule = (parent, bind) => {
  parent
    .command('show')
    .description('show the budget of a customer, or all budgets')
    .argument('[customer]')
    .action(bind(show));
};

async function show(context: Context, customer?: string): Promise<void> {
  const {client} = context;
  if (customer === undefined) {
    const views = await client.budgets();
    context.print(views, () => renderTable(columns, views));
    return;
  }
  const view = await client.budget(customer);
  context.print(view, () => describe(view));
}

function describe(view: BudgetView): string {
  const workspaces = renderTable(
    [
      {heading: 'WORKSPACE', cell: each => each.name},
      {heading: 'SHARE %', cell: each => each.sharePercent, align: 'right'},
      {
        heading: 'BILLED',
        cell: each => formatAmount(each.billed),
        align: 'right',
      },
      {
        heading: 'RESERVED',
        cell: each => formatAmount(each.reserved),
        align: 'right',
      },
    ],
    view.workspaces,
  );
  const grants = renderTable(
    [
      {heading: 'GRANT', cell: each => each.grantId},
      {heading: 'HOLDER', cell: each => each.holder},
      {
        heading: 'AMOUNT',
        cell: each => formatAmount(each.amount),
        align: 'right',
      },
      {
        heading: 'BILLED',
        cell: each => formatAmount(each.billed),
        align: 'right',
      },
      {heading: 'UNTIL', cell: each => formatTime(each.until)},
    ],
    view.grants,
  );
  return [renderTable(columns, [view]), workspaces, grants].join('\n\n');
}
