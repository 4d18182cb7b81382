/** @fileoverview `backends`: lists the backend servers as one daemon sees them. */
import {type BackendView} from '@dogwoodtrestle/schema';

import {type Context} from '../context.js';
import {type Column, renderTable} from '../output/table.js';
import {type CommandModule} from './commandModule.js';

const columns: ReadonlyArray<Column<BackendView>> = [
  {heading: 'BACKEND', cell: view => view.announcement.name},
  {heading: 'STATE', cell: view => view.state},
  {heading: 'KIND', cell: view => view.announcement.kind},
  {heading: 'OFFERS', cell: listOffers},
  {heading: 'URL', cell: view => view.announcement.url},
  {heading: 'FAILURE DOMAIN', cell: view => view.announcement.failureDomain},
  {
    heading: 'LOAD',
    cell: ({announcement: {load}}) =>
      `${load.running}+${load.queued}/${load.capacity}`,
    align: 'right',
  },
  {heading: 'IN FLIGHT', cell: view => view.inFlight, align: 'right'},
  {heading: 'AGE MS', cell: view => view.ageMilliseconds, align: 'right'},
];

export const backends: CommandModule = (parent, bind) => {
  parent
    .command('backends')
    .description('list the backend servers as one daemon sees them')
    .action(bind(list));
};

async function list(context: Context): Promise<void> {
  const views = await context.client.backends();
  context.print(views, () => renderTable(columns, views));
}

function listOffers({announcement: {models, service}}: BackendView): string {
  return [...models.map(model => model.name), service?.name ?? '']
    .filter(name => name !== '')
    .join(',');
}
