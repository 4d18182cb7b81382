/**
 * @fileoverview A model server crashes in the middle of resumable streams whose
 * events have their data before their id, as server-sent events may.
 */
import path from 'node:path';
import {fileURLToPath} from 'node:url';

import {callerLimits, modelService, runCase, sleep} from '../lib/fleet.mjs';
import {ModelServer, sendStream} from '../lib/modelServer.mjs';

const folder = path.dirname(fileURLToPath(import.meta.url));

const hostName = 'desk.example';
const eventCount = 20;
const streamCount = 6;

const configuration = {
  version: 1,
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
  tenants: [
    {
      name: 'maltster',
      apiKeys: ['key-of-the-maltster'],
      priority: 1,
      prepaid: 8_000_000,
    },
  ],
};

/** The text of an event; the ids increase from 1. */
function formatEvent(number) {
  return `data: bid: ${200 + number} CAD\nid: ${number}\n\n`;
}

/** Returns the numbers of the whole events of an answer. */
function readNumbers(text) {
  return [...text.matchAll(/^id: (\d+)$/gm)].map(([, digits]) =>
    Number(digits),
  );
}

await runCase(folder, async ({fleet, record, hasTrouble}) => {
  await fleet.start({core: 3, routers: 1});
  if (!(await fleet.putConfiguration(configuration))) return 2;
  const options = {events: eventCount, eventMilliseconds: 100, formatEvent};
  const servers = [
    new ModelServer(fleet, 'i-1', 'desk-llm', options),
    new ModelServer(fleet, 'i-2', 'desk-llm', options),
  ];
  for (const server of servers) await server.start();
  if (!(await fleet.waitUntilReady())) return 2;
  await sleep(3_000);
  const [router] = fleet.routers;
  const answers = [];
  for (let number = 1; number <= streamCount; number++) {
    const attempt = `attempt-${number}`;
    const answer = sendStream(fleet.callerAddress(router), {
      path: '/query/1',
      hostName,
      key: 'key-of-the-maltster',
      attempt,
      counts: '100,150',
      parts: `aa:50,${number}bb:50`,
    });
    answers.push(answer.then(result => ({attempt, ...result})));
  }
  await sleep(900);
  const [busiest] = servers.sort((a, b) => b.runs.length - a.runs.length);
  if (hasTrouble) {
    record.write(`${busiest.id} crashes with ${busiest.runs.length} runs`);
    busiest.crash();
  }
  let broken = 0;
  for (const {attempt, status, text, isComplete} of await Promise.all(
    answers,
  )) {
    const numbers = readNumbers(text);
    // A stream that is broken off is allowed; a piece twice or missing is not.
    const isInOrder = numbers.every((value, index) => value === index + 1);
    const isWhole = !isComplete || numbers.length === eventCount;
    const isBroken = status === 200 && !(isInOrder && isWhole);
    if (isBroken) broken++;
    record.write(
      `${attempt}: status ${status}, ${isComplete ? 'complete' : 'broken off'}, ` +
        `events ${numbers.join(' ')}${isBroken ? '  <- ORDER' : ''}`,
    );
  }
  for (const {id, runs} of servers) {
    for (const run of runs) {
      record.write(
        `${id} ran ${run.attempt}, Last-Event-Id ${run.lastEventId ?? 'missing'}, ` +
          `${run.events} events`,
      );
    }
  }
  if (answers.length === 0) return 2;
  return broken > 0 ? 1 : 0;
});
