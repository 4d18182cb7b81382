/** @fileoverview `replicas`: lists the replicas of the ledger. */
import {type ReplicaView} from '@dogwoodtrestle/schema';

import {type Context} from '../context.js';
import {type Column, renderTable} from '../output/table.js';
import {type CommandModule} from './commandModule.js';

const columns: ReadonlyArray<Column<ReplicaView>> = [
  {heading: 'INSTANCE', cell: view => view.instance},
  {heading: 'ROLE', cell: view => view.role},
  {heading: 'TERM', cell: view => view.term, align: 'right'},
  {heading: 'COMMITTED', cell: view => view.commitIndex, align: 'right'},
  {heading: 'APPLIED', cell: view => view.lastApplied, align: 'right'},
  {heading: 'REPLICA', cell: view => view.replicaId},
  {
    heading: 'MEMBERS',
    cell: view =>
      view.members
        .map(each => each.instance + (each.role === 'learner' ? '?' : ''))
        .join(','),
  },
];

export const replicas: CommandModule = (parent, bind) => {
  parent
    .command('replicas')
    .description('list the replicas of the ledger (? marks a learner)')
    .action(bind(list));
};

async function list(context: Context): Promise<void> {
  const views = await context.client.replicas();
  context.print(views, () => renderTable(columns, views));
}
