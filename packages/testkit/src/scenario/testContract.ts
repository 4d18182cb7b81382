/** @fileoverview Contracts for scenarios. */
import {keyHashOf} from '@dogwoodtrestle/operator-cli';
import {type Contract, validate} from '@dogwoodtrestle/schema';

/** Prices of the scenarios' contracts, in micros. */
export const testPrices = {inputToken: 1, outputToken: 10, call: 1000} as const;

/** Returns the bearer token of a customer's only workspace. */
export function testWorkspaceKey(customer: string): string {
  return `key-of-${customer}`;
}

/**
 * Creates a contract with one model, one service and one workspace.
 *
 * @param prepaid Prepaid amount in micros.
 * @param overrides Additional or replaced sections, such as `partition`.
 * @throws If the contract is invalid.
 */
export function testContract(
  customer: string,
  prepaid: number,
  overrides: object = {},
): Contract {
  const result = validate('Contract', {
    customer,
    budget: {prepaid},
    models: [
      {
        name: 'test-model',
        inputPrice: testPrices.inputToken,
        outputPrice: testPrices.outputToken,
      },
    ],
    services: [{name: 'bookings', callPrice: testPrices.call}],
    workspaces: [
      {name: 'main', keyHash: keyHashOf(testWorkspaceKey(customer))},
    ],
    ...overrides,
  });
  if ('value' in result) return result.value;
  throw new Error(JSON.stringify(result.findings));
}
