/** @fileoverview Contract of a customer in the money benchmark. */
import {createHash} from 'node:crypto';

import {type Contract} from '@dogwoodtrestle/schema';

import {type MoneySetting} from './moneySetting.js';

/** Returns a contract with one workspace, `desk`, and one model, `model`. */
export function createMoneyContract(
  setting: MoneySetting,
  customer: string,
  prepaid: number,
): Contract {
  const {inputPrice, outputPrice, partition} = setting;
  const digest = createHash('sha256').update(customer).digest('hex');
  return {
    customer,
    budget: {prepaid, currency: 'CAD'},
    models: [{name: 'model', inputPrice, outputPrice, adapters: []}],
    services: [],
    priority: 'normal',
    limits: {},
    workspaces: [
      {
        name: 'desk',
        keyHash: `sha256:${digest}`,
        sharePercent: 100,
        limits: {},
      },
    ],
    partition,
  };
}
