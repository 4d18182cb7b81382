/** @fileoverview Dispatches commands to their handlers. */
import {type Command, type Result} from '@dogwoodtrestle/schema';

import {type LedgerState} from '../ledgerState.js';
import {applyContract, retireContract, topUp} from './contractCommands.js';
import {mergeJournal, returnGrant, takeGrant} from './grantCommands.js';
import {claimIssuerLease} from './leaseCommands.js';
import {adoptRequest, openRequest, settleRequest} from './requestCommands.js';

type CommandOf<K extends Command['kind']> = Extract<Command, {kind: K}>;

type Handlers = {
  [K in Command['kind']]: (state: LedgerState, command: CommandOf<K>) => Result;
};

const handlers: Handlers = {
  applyContract,
  retireContract,
  topUp,
  openRequest,
  adoptRequest,
  settleRequest,
  takeGrant,
  returnGrant,
  mergeJournal,
  claimIssuerLease,
  advanceTime: () => ({kind: 'done'}),
};

/** Applies a command to the state. */
export function handleCommand(state: LedgerState, command: Command): Result {
  const handler = handlers[command.kind] as (
    state: LedgerState,
    command: Command,
  ) => Result;
  return handler(state, command);
}

/** Returns the customer whose sums a command may change, if any. */
export function affectedCustomer(
  state: LedgerState,
  command: Command,
): string | undefined {
  if ('contract' in command) return command.contract.customer;
  if ('customer' in command) return command.customer;
  if ('requestKey' in command) {
    return state.requests.open.get(command.requestKey)?.customer;
  }
  if ('grantId' in command) return state.grants.get(command.grantId)?.customer;
  return undefined;
}
