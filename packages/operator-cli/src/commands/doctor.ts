/** @fileoverview `doctor`: checks the health of the cluster. */
import {type Context} from '../context.js';
import {type CheckResult, diagnose} from '../doctor.js';
import {exitCodes} from '../exitCodes.js';
import {type CommandModule} from './commandModule.js';

export const doctor: CommandModule = (parent, bind) => {
  parent
    .command('doctor')
    .description('check the health of the cluster')
    .action(bind(run));
};

async function run(context: Context): Promise<void> {
  const {client} = context;
  const [instances, replicas, backends, budgets] = await Promise.all([
    client.instances(),
    client.replicas(),
    client.backends(),
    client.budgets(),
  ]);
  const results = [
    ...(await checkHealth(context)),
    ...diagnose({instances, replicas, backends, budgets}),
  ];
  if (results.some(each => !each.passed)) context.exitCode = exitCodes.findings;
  context.print(results, () => results.map(describe).join('\n'));
}

async function checkHealth(context: Context): Promise<CheckResult[]> {
  return Promise.all(
    context.urls.map(async url => ({
      check: `${url} is ready`,
      passed: await context.client.forDaemon(url).isHealthy('ready'),
      details: [],
    })),
  );
}

function describe({check, passed, details}: CheckResult): string {
  const lines = [`${passed ? 'ok    ' : 'FAILED'} ${check}`];
  return [...lines, ...details.map(each => `         ${each}`)].join('\n');
}
