/** @fileoverview `contract list`: lists all contracts. */
import {type ContractView} from '@dogwoodtrestle/schema';

import {type Context} from '../context.js';
import {type Column, renderTable} from '../output/table.js';
import {formatAmount} from '../output/units.js';
import {type CommandModule} from './commandModule.js';

const columns: ReadonlyArray<Column<ContractView>> = [
  {heading: 'CUSTOMER', cell: view => view.contract.customer},
  {heading: 'VERSION', cell: view => view.version, align: 'right'},
  {heading: 'REVISION', cell: view => view.revision, align: 'right'},
  {heading: 'STATE', cell: describeState},
  {heading: 'PRIORITY', cell: view => view.contract.priority},
  {
    heading: 'PREPAID',
    cell: view => formatAmount(view.contract.budget.prepaid),
    align: 'right',
  },
  {heading: 'CURRENCY', cell: view => view.contract.budget.currency},
];

export const contractList: CommandModule = (parent, bind) => {
  parent.command('list').description('list all contracts').action(bind(list));
};

async function list(context: Context): Promise<void> {
  const views = await context.client.contracts();
  context.print(views, () => renderTable(columns, views));
}

function describeState({retired, pending}: ContractView): string {
  if (pending?.state === 'pending') return 'pending';
  return retired ? 'retired' : 'in force';
}
