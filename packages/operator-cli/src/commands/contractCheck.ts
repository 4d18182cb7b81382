/** @fileoverview `contract check`: checks contract files without calling a daemon. */
import {describeFinding} from '@dogwoodtrestle/schema';

import {type Context} from '../context.js';
import {exitCodes} from '../exitCodes.js';
import {readContract} from '../util/readContract.js';
import {type CommandModule} from './commandModule.js';

export const contractCheck: CommandModule = (parent, bind) => {
  parent
    .command('check')
    .description('check contract files; needs no daemon')
    .argument('<files...>', 'YAML files')
    .action(bind(check));
};

function check(context: Context, files: string[]): void {
  const findings = files.flatMap(file => readContract(file).findings);
  if (findings.length > 0) context.exitCode = exitCodes.findings;
  context.print({findings}, () =>
    findings.length === 0
      ? `${files.length} contract(s), no findings`
      : findings.map(describeFinding).join('\n'),
  );
}
