/** @fileoverview `explain`: shows the decisions about a request and their inputs. */
import {type ExplanationView} from '@dogwoodtrestle/schema';

import {type Context} from '../context.js';
import {exitCodes} from '../exitCodes.js';
import {formatAmount, formatTime} from '../output/units.js';
import {type CommandModule} from './commandModule.js';

export const explain: CommandModule = (parent, bind) => {
  parent
    .command('explain')
    .description('tell what was decided about a request, and why')
    .argument('<request-id>', 'x-request-id of the response')
    .action(bind(run));
};

async function run(context: Context, requestId: string): Promise<void> {
  const view = await findExplanation(context, requestId);
  if (!view.found) context.exitCode = exitCodes.findings;
  context.print(view, () => describe(view));
}

/**
 * Calls each daemon in turn until one knows the request, since the instance
 * that served it may no longer be running.
 */
async function findExplanation(
  context: Context,
  requestId: string,
): Promise<ExplanationView> {
  let last: ExplanationView = {requestId, found: false};
  let failure: unknown;
  let answered = false;
  for (const url of context.urls) {
    try {
      last = await context.client.forDaemon(url).explain(requestId);
      answered = true;
      if (last.found) return last;
    } catch (error) {
      failure = error;
    }
  }
  if (!answered) throw failure;
  return last;
}

function describe(view: ExplanationView): string {
  if (!view.found) return `${view.requestId}: nothing is known of it`;
  const {bill, steps = []} = view;
  const fields = [
    ['request', view.requestId],
    ['key', view.requestKey],
    ['customer', [view.customer, view.workspace].filter(Boolean).join('/')],
    ['status', [view.status, view.code].filter(Boolean).join(' ')],
    ['message', view.message],
    ['instance', view.holder],
    ['trace', view.traceId],
    [
      'bill',
      bill &&
        `${formatAmount(bill.cost)} (${bill.outcome}, entry ${bill.index})`,
    ],
  ].filter(([, value]) => value !== undefined && value !== '');
  return [
    ...fields.map(([name, value]) => `${String(name).padEnd(9)} ${value}`),
    ...steps.map(
      ({at, step, detail}) =>
        `${formatTime(at)} ${step} ${JSON.stringify(detail)}`,
    ),
  ].join('\n');
}
