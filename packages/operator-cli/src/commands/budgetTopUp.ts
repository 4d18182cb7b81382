/** @fileoverview `budget top-up`: adds an amount to a prepaid budget. */
import {type Context} from '../context.js';
import {parseAmount} from '../output/units.js';
import {type ChangeOptions, submitChange} from '../util/submitChange.js';
import {addChangeOptions} from './changeOptions.js';
import {type CommandModule} from './commandModule.js';

export const budgetTopUp: CommandModule = (parent, bind) => {
  const command = parent
    .command('top-up')
    .description('add to the budget of a customer')
    .argument('<customer>')
    .argument('<amount>', 'units of the currency, such as 25 or 0.5');
  addChangeOptions(command).action(bind(topUp));
};

async function topUp(
  context: Context,
  customer: string,
  text: string,
  options: ChangeOptions,
): Promise<void> {
  const amount = parseAmount(text);
  const {client, operator} = context;
  await submitChange(context, options, '', changeId =>
    client.topUp(customer, {changeId, operator, amount}),
  );
}
