/** @fileoverview All commands, by group. */
import {audit} from './audit.js';
import {backends} from './backends.js';
import {bills} from './bills.js';
import {budgetShow} from './budgetShow.js';
import {budgetTopUp} from './budgetTopUp.js';
import {type CommandModule} from './commandModule.js';
import {completion} from './completion.js';
import {configCheck} from './configCheck.js';
import {contractApply} from './contractApply.js';
import {contractCheck} from './contractCheck.js';
import {contractHistory} from './contractHistory.js';
import {contractList} from './contractList.js';
import {contractRetire} from './contractRetire.js';
import {contractShow} from './contractShow.js';
import {doctor} from './doctor.js';
import {evacuationList} from './evacuationList.js';
import {evacuationFinish, evacuationStart} from './evacuationOrder.js';
import {explain} from './explain.js';
import {instances} from './instances.js';
import {keyNew} from './keyNew.js';
import {replicas} from './replicas.js';
import {report} from './report.js';

/** Groups of commands, by name. */
export const commandGroups: Record<
  string,
  {description: string; commands: CommandModule[]}
> = {
  contract: {
    description: 'contracts of customers',
    commands: [
      contractCheck,
      contractApply,
      contractShow,
      contractList,
      contractHistory,
      contractRetire,
    ],
  },
  budget: {
    description: 'prepaid budgets',
    commands: [budgetShow, budgetTopUp],
  },
  config: {
    description: 'configurations of a fleet of routers',
    commands: [configCheck],
  },
  evacuation: {
    description: 'failure domains whose backend servers get no requests',
    commands: [evacuationStart, evacuationFinish, evacuationList],
  },
  key: {description: 'bearer keys of workspaces', commands: [keyNew]},
};

/** Commands without a group. */
export const topLevelCommands: readonly CommandModule[] = [
  bills,
  instances,
  backends,
  replicas,
  explain,
  doctor,
  audit,
  report,
  completion,
];
