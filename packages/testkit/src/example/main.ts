/**
 * @fileoverview Runs the example of the README: six daemons in four failure
 * domains, stand-in backend servers, three contracts, and calls to the routers.
 *
 *     node dist/example/main.js [--folder FOLDER]
 */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';

import {Cluster} from '../launcher/cluster.js';
import {ctl} from '../launcher/ctl.js';
import {eventually} from '../util/eventually.js';
import {type ExampleStep, exampleSteps} from './steps.js';

interface ExampleBill {
  requestKey: string;
  cost: number;
  outcome: string;
  traceId: string;
}

const contractFolder = fileURLToPath(
  new URL('../../../../examples/contracts/', import.meta.url),
);
const contractFiles = [
  'barley-desk.yaml',
  'tent-commons.yaml',
  'small-budget.yaml',
];
const settleTimeoutMilliseconds = 5000;
const readyTimeoutMilliseconds = 10_000;
const maximumTextLength = 72;

const problems: string[] = [];

const {values: options} = parseArgs({options: {folder: {type: 'string'}}});
try {
  await runExample(options.folder);
} catch (error) {
  problems.push(error instanceof Error ? error.message : String(error));
}
for (const problem of problems) process.stderr.write(`\nFAILED ${problem}\n`);
process.exitCode = problems.length === 0 ? 0 : 1;

async function runExample(folder: string | undefined): Promise<void> {
  const cluster = await Cluster.create({
    routers: 6,
    replicas: 3,
    failureDomains: [
      'kamloops-1',
      'kamloops-2',
      'prince-george',
      'dawson-creek',
    ],
    network: '127.0.0',
    callerPort: 8080,
    folder,
  });
  try {
    await startProcesses(cluster);
    await applyContracts(cluster);
    for (const step of exampleSteps) await runStep(cluster, step);
    print(`\n${await ctl(cluster, ['budget', 'show'])}`);
    await stopProcesses(cluster);
  } finally {
    await cluster.stop();
  }
}

async function startProcesses(cluster: Cluster): Promise<void> {
  await cluster.startAll();
  for (const {plan, url} of cluster.daemons.values()) {
    const roles = plan.dataFolder === undefined ? 'router' : 'router, ledger';
    print(`${plan.name}  ${url}  ${plan.failureDomain}  (${roles})`);
  }
  for (const [index, model] of [
    'barley-7b',
    'barley-7b',
    'tent-7b',
  ].entries()) {
    const name = `model-${index + 1}`;
    await cluster.startStandIn({kind: 'model', name, model});
  }
  for (const service of ['bookings', 'deposits']) {
    await cluster.startStandIn({
      kind: 'service',
      name: `${service}-1`,
      service,
    });
  }
  await eventually(readyTimeoutMilliseconds, async () => {
    const backends = JSON.parse(
      await ctl(cluster, ['backends', '--json']),
    ) as unknown[];
    return backends.length === cluster.standIns.size
      ? true
      : `${backends.length} backend servers announced`;
  });
  print(`${cluster.standIns.size} backend servers announced themselves\n`);
}

async function applyContracts(cluster: Cluster): Promise<void> {
  for (const file of contractFiles) {
    const name = path.join(contractFolder, file);
    const [first = ''] = (
      await ctl(cluster, ['contract', 'apply', '--wait', name])
    ).split('\n');
    print(`${file}: ${first}`);
  }
}

async function runStep(cluster: Cluster, step: ExampleStep): Promise<void> {
  const url = (name: string) => cluster.daemon(name).url;
  const response = await step.run({first: url('r1'), second: url('r6')});
  print(`\n${step.title}`);
  const shown = response.error?.message ?? (response.text || response.body);
  print(`  ${response.status}  ${shown.slice(0, maximumTextLength)}`);
  if (response.error !== undefined) {
    const {code, didNotRun} = response.error;
    print(`  code ${code}, did not run: ${didNotRun}`);
  }
  const finding = step.check(response);
  if (finding !== undefined) problems.push(`${step.title}: ${finding}`);
  print(`  trace ${response.traceId}`);
  if (step.billed) await showBill(cluster, step, response.traceId);
}

async function showBill(
  cluster: Cluster,
  {title, customer}: ExampleStep,
  traceId: string,
): Promise<void> {
  try {
    const bill = await eventually(settleTimeoutMilliseconds, async () => {
      const args = ['bills', '--customer', customer, '--json'];
      const bills = JSON.parse(await ctl(cluster, args)) as ExampleBill[];
      return bills.find(each => each.traceId === traceId) ?? 'no bill';
    });
    print(
      `  bill ${bill.cost} micros, ${bill.outcome}, key ${bill.requestKey}`,
    );
  } catch (error) {
    problems.push(`${title}: ${(error as Error).message}`);
  }
}

async function stopProcesses(cluster: Cluster): Promise<void> {
  const standIns = [...cluster.standIns.values()];
  await Promise.all(standIns.map(each => each.process.terminate(10_000)));
  for (const name of [...cluster.daemons.keys()].reverse()) {
    const {code, signal} = await cluster.terminate(name);
    if (code === 0) continue;
    problems.push(`${name} ended with ${signal ?? code}`);
  }
  print(`\nstopped ${cluster.daemons.size} daemons gracefully`);
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
