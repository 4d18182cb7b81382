/** @fileoverview `contract show`: shows the newest contract of a customer as YAML. */
import {type ContractView} from '@dogwoodtrestle/schema';
import {stringify} from 'yaml';

import {type Context} from '../context.js';
import {RefusedError} from '../errors.js';
import {describeChange} from '../output/changeText.js';
import {type CommandModule} from './commandModule.js';

export const contractShow: CommandModule = (parent, bind) => {
  parent
    .command('show')
    .description('show the contract of a customer')
    .argument('<customer>')
    .action(bind(show));
};

async function show(context: Context, customer: string): Promise<void> {
  const view = await context.client.findContract(customer);
  if (view === undefined) {
    throw new RefusedError(`no contract of customer '${customer}'`);
  }
  context.print(view, () => describe(view));
}

function describe(view: ContractView): string {
  const {contract, version, revision, retired, pending} = view;
  const headerLines = [
    `# version ${version}, revision ${revision}${retired ? ', retired' : ''}`,
    ...(pending === undefined
      ? []
      : describeChange(pending)
          .split('\n')
          .map(line => `# ${line}`)),
  ];
  return `${headerLines.join('\n')}\n${stringify(contract).trimEnd()}`;
}
