/** @fileoverview `key new`: generates a bearer key and the digest for a contract. */
import {createHash, randomBytes} from 'node:crypto';

import {type Context} from '../context.js';
import {type CommandModule} from './commandModule.js';

const keyBytes = 32;

export const keyNew: CommandModule = (parent, bind) => {
  parent
    .command('new')
    .description('generate a bearer key and the keyHash for the contract')
    .action(bind(generate));
};

function generate(context: Context): void {
  const key = randomBytes(keyBytes).toString('base64url');
  const keyHash = keyHashOf(key);
  context.print(
    {key, keyHash},
    () => `key (give it to the callers): ${key}\nkeyHash: '${keyHash}'`,
  );
}

/** Returns the digest of a bearer key in the format of `keyHash` in contracts. */
export function keyHashOf(key: string): string {
  return `sha256:${createHash('sha256').update(key).digest('hex')}`;
}
