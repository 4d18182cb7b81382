/** @fileoverview `instances`: lists the instances with the active revision of each. */
import {type InstanceView} from '@dogwoodtrestle/schema';

import {type Context} from '../context.js';
import {type Column, renderTable} from '../output/table.js';
import {type CommandModule} from './commandModule.js';

const columns: ReadonlyArray<Column<InstanceView>> = [
  {heading: 'INSTANCE', cell: view => view.name},
  {heading: 'STATE', cell: view => view.state},
  {heading: 'ADDRESS', cell: view => `${view.address}:${view.callerPort}`},
  {heading: 'FAILURE DOMAIN', cell: view => view.failureDomain},
  {heading: 'ROLES', cell: view => view.roles.join(',')},
  {heading: 'REVISION', cell: view => view.revision, align: 'right'},
  {
    heading: 'RENEWED MS AGO',
    cell: view => view.renewedMillisecondsAgo,
    align: 'right',
  },
  {
    heading: 'SEEN MS AGO',
    cell: view => view.seenMillisecondsAgo,
    align: 'right',
  },
];

export const instances: CommandModule = (parent, bind) => {
  parent
    .command('instances')
    .description('list the instances and the revision each has in force')
    .action(bind(list));
};

async function list(context: Context): Promise<void> {
  const views = await context.client.instances();
  context.print(views, () => renderTable(columns, views));
}
