/** @fileoverview `report`: writes an HTML page of spend, refusals and delays. */
import {writeFileSync} from 'node:fs';

import {type Context} from '../context.js';
import {parseTime} from '../output/units.js';
import {type CommandModule} from './commandModule.js';

interface ReportOptions {
  output: string;
  since?: string;
  spans: string[];
}

const maximumBills = 10_000;

export const report: CommandModule = (parent, bind) => {
  parent
    .command('report')
    .description('write an HTML page of spend, refusals and delays')
    .option('--output <file>', 'file to write', 'dogwoodtrestle-report.html')
    .option('--since <time>', 'oldest bill: ISO 8601, or an age such as 7d')
    .option('--spans <files...>', "the daemons' span files, for delays", [])
    .action(bind(run));
};

async function run(context: Context, options: ReportOptions): Promise<void> {
  const since =
    options.since === undefined ? undefined : parseTime(options.since);
  const [budgets, bills] = await Promise.all([
    context.client.budgets(),
    context.client.bills({since, limit: maximumBills}),
  ]);
  // Loaded on demand: the chart library would slow the start of other commands.
  const {renderReport} = await import('../report/renderReport.js');
  const {readSpans} = await import('../report/spans.js');
  const spans = readSpans(options.spans);
  const page = renderReport({createdAt: Date.now(), budgets, bills, spans});
  writeFileSync(options.output, page);
  const {output} = options;
  context.print({output, bytes: page.length}, () => `wrote ${output}`);
}
