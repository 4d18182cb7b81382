/** @fileoverview `contract retire`: ends a contract. */
import {type Context} from '../context.js';
import {
  submitVersionedChange,
  type VersionedChangeOptions,
} from '../util/submitChange.js';
import {addVersionedChangeOptions} from './changeOptions.js';
import {type CommandModule} from './commandModule.js';

export const contractRetire: CommandModule = (parent, bind) => {
  const command = parent
    .command('retire')
    .description('end a contract')
    .argument('<customer>');
  addVersionedChangeOptions(command).action(bind(retire));
};

async function retire(
  context: Context,
  customer: string,
  options: VersionedChangeOptions,
): Promise<void> {
  const {client, operator} = context;
  await submitVersionedChange(
    context,
    customer,
    options,
    (changeId, expectedVersion) =>
      client.retireContract(customer, {changeId, operator, expectedVersion}),
  );
}
