/**
 * @fileoverview A tenant is named `constructor`, and a router is restarted as
 * planned. Then the configuration is read back.
 */
import path from 'node:path';
import {fileURLToPath} from 'node:url';

import {callerLimits, modelService, runCase, sleep} from '../lib/fleet.mjs';
import {ModelServer, sendStream} from '../lib/modelServer.mjs';

const folder = path.dirname(fileURLToPath(import.meta.url));

/** Time to recover that the sheet of the site grants. */
const recoveryMilliseconds = 12_000;

/** Time for which the operator reads at the end of a day. */
const contactMilliseconds = 3_000;

const hostName = 'desk.example';

function createConfiguration(version, tenants) {
  return {
    version,
    routes: [
      {
        name: 'r-query',
        host: hostName,
        pathPrefix: '/query/',
        kind: 'streaming',
        timeoutMs: 12_000,
        latencyGoalMs: 400,
        priority: 0,
        service: 'desk-llm',
        attempts: 2,
        public: false,
        sticky: true,
        resumable: true,
        gapGoalMs: 400,
      },
    ],
    services: [modelService('desk-llm')],
    limits: callerLimits(),
    tenants,
  };
}

const maltster = {
  name: 'maltster',
  apiKeys: ['key-of-the-maltster'],
  priority: 1,
  prepaid: 8_000_000,
};
const builder = {
  name: 'constructor',
  apiKeys: ['key-of-the-constructor'],
  priority: 1,
  prepaid: 8_000_000,
};

await runCase(folder, async ({fleet, record, hasTrouble}) => {
  await fleet.start({core: 5, routers: 2});
  const configuration = createConfiguration(1, [maltster]);
  if (!(await fleet.putConfiguration(configuration))) return 2;
  for (const id of ['i-1', 'i-2']) {
    await new ModelServer(fleet, id, 'desk-llm').start();
  }
  if (!(await fleet.waitUntilReady())) return 2;
  await sleep(3_000);
  let number = 0;
  const ask = async (router, {apiKeys: [key], name}) => {
    const attempt = `attempt-${++number}`;
    const answer = await sendStream(fleet.callerAddress(router), {
      path: '/query/1',
      hostName,
      key,
      attempt,
      counts: '100,50',
      parts: `aa:50,${number}bb:50`,
      remaining: 4_000,
    });
    const {status, isComplete} = answer;
    record.write(
      `${attempt} of ${name} at ${router.name}: status ${status}` +
        `${isComplete ? '' : ', not complete'}`,
    );
    return status;
  };
  const [first, second] = fleet.routers;
  if ((await ask(first, maltster)) !== 200) return 2;
  const next = createConfiguration(2, [maltster, builder]);
  if (!(await fleet.putConfiguration(next))) return 2;
  await sleep(2_500);
  await ask(first, builder);
  await ask(first, maltster);
  if (hasTrouble) first.end('SIGTERM');
  await sleep(9_000 + recoveryMilliseconds);
  await ask(second, maltster);
  const versions = new Set();
  for (let read = 0; read < (2 * contactMilliseconds) / 500; read++) {
    const replies = await fleet.readConfigurations();
    record.write(`operator reads ${replies.map(v => v ?? 'nothing')}`);
    for (const version of replies) versions.add(version);
    await sleep(500);
  }
  const ends = fleet.core.map(({ownEnds}) => ownEnds);
  record.write(`control processes ended by themselves ${ends} times`);
  const isRead = versions.has(2);
  const isFaulty = ends.filter(count => count >= 3).length >= ends.length / 2;
  return isRead && !isFaulty ? 0 : 1;
});
