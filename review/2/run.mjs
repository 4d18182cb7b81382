/**
 * @fileoverview Heartbeats of another writer name a service that no
 * configuration has, at the addresses of model servers.
 */
import path from 'node:path';
import {fileURLToPath} from 'node:url';

import {
  Announcer,
  callerLimits,
  modelService,
  runCase,
  sleep,
} from '../lib/fleet.mjs';
import {ModelServer, sendStream} from '../lib/modelServer.mjs';

const folder = path.dirname(fileURLToPath(import.meta.url));

const hostName = 'desk.example';
const key = 'key-of-the-maltster';

function createRoute(name, service) {
  return {
    name: `r-${name}`,
    host: hostName,
    pathPrefix: `/${name}/`,
    kind: 'streaming',
    timeoutMs: 12_000,
    latencyGoalMs: 400,
    priority: 0,
    service,
    attempts: 2,
    public: false,
    sticky: true,
    resumable: true,
    gapGoalMs: 400,
  };
}

function createConfiguration(version, routes) {
  return {
    version,
    routes,
    services: [modelService('first-llm'), modelService('later-llm')],
    limits: callerLimits(),
    tenants: [{name: 'maltster', apiKeys: [key], priority: 1}],
  };
}

await runCase(folder, async ({fleet, record, hasTrouble}) => {
  await fleet.start({core: 3, routers: 2});
  const first = createRoute('first', 'first-llm');
  const later = createRoute('later', 'later-llm');
  if (!(await fleet.putConfiguration(createConfiguration(1, [first]))))
    return 2;
  const startServer = async (id, service) => {
    const server = new ModelServer(fleet, id, service);
    await server.start();
    return server;
  };
  await startServer('i-first-1', 'first-llm');
  await startServer('i-first-2', 'first-llm');
  const servers = [];
  for (let index = 1; index <= 4; index++) {
    servers.push(await startServer(`i-later-${index}`, 'later-llm'));
  }
  if (!(await fleet.waitUntilReady())) return 2;
  const next = createConfiguration(2, [first, later]);
  if (!(await fleet.putConfiguration(next))) return 2;
  await sleep(3_000);
  let number = 0;
  const send = async route => {
    const router = fleet.routers[number % fleet.routers.length];
    const {status, isComplete} = await sendStream(fleet.callerAddress(router), {
      path: `/${route}/1`,
      hostName,
      key,
      attempt: `attempt-${++number}`,
      counts: '100,50',
      parts: `aa:50,${number}bb:50`,
      remaining: 4_000,
    });
    return status === 200 && isComplete;
  };
  const ask = async (name, count) => {
    const served = {first: 0, later: 0};
    const pending = [];
    for (let turn = 0; turn < count; turn++) {
      for (const route of ['first', 'later']) {
        const counted = send(route).then(isServed => {
          if (isServed) served[route]++;
        });
        pending.push(counted);
      }
      await sleep(150);
    }
    await Promise.all(pending);
    record.write(
      `${name}: first route ${served.first} of ${count} served, later route ` +
        `${served.later} of ${count}`,
    );
    return served;
  };
  await ask('before', 30);
  if (hasTrouble) {
    for (const [index, {announcer}] of servers.entries()) {
      const {address} = announcer.fields;
      const agent = new Announcer(fleet, {
        id: `agent-${index + 1}`,
        service: 'host-agent',
        address,
        slots: 1,
      });
      agent.born = Date.now();
      const isAcknowledged = await agent.beat();
      record.write(
        `agent-${index + 1} of service host-agent announces ${address} once: ` +
          `${isAcknowledged ? 'acknowledged' : 'refused'}`,
      );
    }
  }
  await sleep(10_000);
  const served = await ask('steady', 60);
  return served.later < served.first / 4 ? 1 : 0;
});
