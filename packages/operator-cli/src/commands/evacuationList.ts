/**
 * @fileoverview `evacuation list`: shows the evacuations that processes know, each
 * by itself, as a process that is out of touch knows an older list.
 */
import {type EvacuationView} from '../client/fleetClient.js';
import {type Context} from '../context.js';
import {UnreachableError} from '../errors.js';
import {type Column, renderTable} from '../output/table.js';
import {formatTime} from '../output/units.js';
import {type CommandModule} from './commandModule.js';

/** What one process knows, or why it didn't answer. */
type ProcessView =
  ({url: string} & EvacuationView) | {url: string; error: string};

const columns: ReadonlyArray<Column<EvacuationView['evacuations'][number]>> = [
  {heading: 'FAILURE DOMAIN', cell: each => each.failureDomain},
  {heading: 'SINCE', cell: each => formatTime(each.startedAt)},
  {heading: 'BY', cell: each => each.requestedBy},
  {heading: 'REVISION', cell: each => each.revision, align: 'right'},
];

export const evacuationList: CommandModule = (parent, bind) => {
  parent
    .command('list')
    .description(
      'show the evacuations that each process knows; takes the URLs of metrics pages',
    )
    .action(bind(list));
};

async function list(context: Context): Promise<void> {
  const {fleetClient} = context;
  const views = await Promise.all(
    context.urls.map(async (url): Promise<ProcessView> => {
      try {
        return {url, ...(await fleetClient.evacuations(url))};
      } catch (error) {
        return {url, error: (error as Error).message};
      }
    }),
  );
  if (views.every(view => 'error' in view)) {
    throw new UnreachableError(views.map(describe).join('\n'));
  }
  context.print(views, () => views.map(describe).join('\n\n'));
}

function describe(view: ProcessView): string {
  if ('error' in view) return `${view.url}: ${view.error}`;
  const {url, isLeader, revision, evacuations} = view;
  const leads = isLeader === true ? ', leads' : '';
  return `${url}: revision ${revision}${leads}\n${renderTable(columns, evacuations)}`;
}
