/** @fileoverview `contract history`: lists all changes of a customer. */
import {type ChangeView} from '@dogwoodtrestle/schema';

import {type Context} from '../context.js';
import {type Column, renderTable} from '../output/table.js';
import {formatAmount} from '../output/units.js';
import {type CommandModule} from './commandModule.js';

const columns: ReadonlyArray<Column<ChangeView>> = [
  {heading: 'REVISION', cell: view => view.revision, align: 'right'},
  {heading: 'VERSION', cell: view => view.version, align: 'right'},
  {heading: 'CHANGE', cell: view => view.kind},
  {heading: 'STATE', cell: view => view.state},
  {heading: 'OPERATOR', cell: view => view.operator},
  {
    heading: 'AMOUNT',
    cell: ({amount}) => (amount === undefined ? '' : formatAmount(amount)),
    align: 'right',
  },
  {heading: 'CHANGE ID', cell: view => view.changeId},
];

export const contractHistory: CommandModule = (parent, bind) => {
  parent
    .command('history')
    .description('list all changes of a customer')
    .argument('<customer>')
    .action(bind(history));
};

async function history(context: Context, customer: string): Promise<void> {
  const views = await context.client.contractHistory(customer);
  context.print(views, () => renderTable(columns, views));
}
