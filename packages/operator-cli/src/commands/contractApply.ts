/** @fileoverview `contract apply`: applies a contract file. */
import {
  type Contract,
  describeFinding,
  locateFindings,
} from '@dogwoodtrestle/schema';

import {type Context} from '../context.js';
import {exitCodes} from '../exitCodes.js';
import {type ContractFile, readContract} from '../util/readContract.js';
import {
  submitVersionedChange,
  type VersionedChangeOptions,
} from '../util/submitChange.js';
import {addVersionedChangeOptions} from './changeOptions.js';
import {type CommandModule} from './commandModule.js';

export const contractApply: CommandModule = (parent, bind) => {
  const command = parent
    .command('apply')
    .description('apply a contract')
    .argument('<file>', 'YAML file, or - for the standard input');
  addVersionedChangeOptions(command).action(bind(apply));
};

async function apply(
  context: Context,
  name: string,
  options: VersionedChangeOptions,
): Promise<void> {
  const file = readContract(name);
  const {contract} = file;
  if (contract === undefined) {
    context.exitCode = exitCodes.findings;
    context.print({findings: file.findings}, () =>
      file.findings.map(describeFinding).join('\n'),
    );
    return;
  }
  await submitVersionedChange(
    context,
    contract.customer,
    options,
    (changeId, expectedVersion) =>
      send(context, file, contract, changeId, expectedVersion),
  );
}

async function send(
  context: Context,
  file: ContractFile,
  contract: Contract,
  changeId: string,
  expectedVersion: number,
): Promise<Awaited<ReturnType<typeof context.client.applyContract>>> {
  const {client, operator} = context;
  const result = await client.applyContract({
    changeId,
    operator,
    expectedVersion,
    contract,
  });
  if (result.findings === undefined) return result;
  const findings = locateFindings(result.findings, file.text, file.name);
  return {...result, findings};
}
