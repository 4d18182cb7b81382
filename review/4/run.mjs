/**
 * @fileoverview A part of prompts crashes each server that begins to write an
 * answer on it. Sound requests share the first part of the prompt and the caller
 * with those that have it.
 */
import path from 'node:path';
import {fileURLToPath} from 'node:url';

import {callerLimits, modelService, runCase, sleep} from '../lib/fleet.mjs';
import {ModelServer, sendStream} from '../lib/modelServer.mjs';

const folder = path.dirname(fileURLToPath(import.meta.url));

const hostName = 'desk.example';
const contactMilliseconds = 3_000;

/** Time after which a server that has crashed is back. */
const restartMilliseconds = 2_000;

const sharedPart = 'f1f1f1f1';
const harmfulPart = 'badbadba';

const configuration = {
  version: 1,
  routes: [
    {
      name: 'r-summary',
      host: hostName,
      pathPrefix: '/summary/',
      kind: 'streaming',
      timeoutMs: 15_000,
      latencyGoalMs: 800,
      priority: 1,
      service: 'desk-llm',
      attempts: 1,
      public: false,
      sticky: true,
      resumable: false,
      gapGoalMs: 400,
    },
  ],
  services: [modelService('desk-llm')],
  limits: callerLimits(),
  tenants: [
    {
      name: 'elevator',
      apiKeys: ['key-of-the-elevator'],
      priority: 1,
      prepaid: 80_000_000,
    },
  ],
};

await runCase(folder, async ({fleet, record, hasTrouble}) => {
  await fleet.start({core: 3, routers: 2});
  if (!(await fleet.putConfiguration(configuration))) return 2;
  const crashes = [];
  const begun = new Set();
  const onBegin = (server, run) => {
    begun.add(run.attempt);
    const isHarmful = run.parts.includes(harmfulPart);
    if (!hasTrouble || !isHarmful) return;
    crashes.push(Date.now());
    record.write(`${server.id} crashes as it begins ${run.attempt}`);
    server.crash();
    void sleep(restartMilliseconds).then(() => server.restart());
  };
  for (let index = 1; index <= 8; index++) {
    const server = new ModelServer(fleet, `i-${index}`, 'desk-llm', {onBegin});
    await server.start();
  }
  if (!(await fleet.waitUntilReady())) return 2;
  await sleep(2_500);
  let number = 0;
  const pending = [];
  const results = [];
  const send = kind => {
    const attempt = `${kind}-${++number}`;
    const router = fleet.routers[number % fleet.routers.length];
    const own = `${(0x1000000 + number).toString(16)}:100`;
    const middle = kind === 'harmful' ? `${harmfulPart}:200,` : '';
    const sentAt = Date.now();
    const answer = sendStream(fleet.callerAddress(router), {
      path: `/summary/${number}`,
      hostName,
      key: 'key-of-the-elevator',
      attempt,
      counts: '600,50',
      parts: `${sharedPart}:300,${middle}${own}`,
      body: `lot ${number}`,
    });
    pending.push(
      answer.then(({status, retryAfter}) => {
        results.push({kind, attempt, sentAt, status});
        const wait =
          retryAfter === undefined ? '' : `, Retry-After ${retryAfter}`;
        record.write(`${attempt}: status ${status}${wait}`);
      }),
    );
  };
  const calmAt = Date.now();
  for (let count = 0; count < 30; count++) {
    send('sound');
    await sleep(250);
  }
  await Promise.all(pending);
  const calmUntil = Date.now();
  // The caller sends nothing for half a minute.
  await sleep(31_000);
  for (let count = 0; count < 6; count++) {
    send('harmful');
    await sleep(600);
  }
  for (let count = 0; count < 45; count++) {
    send('sound');
    if (count % 4 === 0) send('harmful');
    await sleep(800);
  }
  await Promise.all(pending);
  const fifth = crashes[4] ?? crashes.at(-1) ?? calmUntil + 33_000;
  const judgedFrom = fifth + 2 * contactMilliseconds;
  const harmful = results.filter(({kind}) => kind === 'harmful');
  const judgedUntil = Math.max(...harmful.map(({sentAt}) => sentAt));
  const shareOfSound = (from, until) => {
    const sound = results.filter(
      ({kind, sentAt}) => kind === 'sound' && sentAt >= from && sentAt <= until,
    );
    const count = sound.filter(({attempt}) => begun.has(attempt)).length;
    return {all: sound.length, count};
  };
  const calm = shareOfSound(calmAt, calmUntil);
  const judged = shareOfSound(judgedFrom, judgedUntil);
  record.write(`${crashes.length} crashes`);
  record.write(`calm time: ${calm.count} of ${calm.all} sound requests began`);
  record.write(
    `from 2 x contactMs after the crash on: ${judged.count} of ` +
      `${judged.all} sound requests began`,
  );
  if (calm.all < 20 || judged.all < 20) return 2;
  const isBroken = judged.count / judged.all < calm.count / calm.all / 2;
  return isBroken ? 1 : 0;
});
