/**
 * @fileoverview Daemons whose process ends by a signal while a response is on its
 * way. The kernel closes the connections of a process in an orderly way.
 */
import net from 'node:net';

import {Scenario, testWorkspaceKey} from '@dogwoodtrestle/testkit';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

const customer = 'barley';
const startMilliseconds = 60_000;

let scenario: Scenario;

beforeAll(async () => {
  scenario = await Scenario.start({routers: 1, replicas: 1});
  await scenario.applyContract(customer, 1_000_000_000);
  await scenario.controlAll('model', {tokenDelayMilliseconds: 20});
}, startMilliseconds);

afterAll(() => scenario.cluster.stop());

/** Starts a chat of 10 s; returns what came of it, to a close after a signal. */
async function readUntilKilled(version: string, signal: NodeJS.Signals) {
  const {plan, process} = scenario.cluster.daemon('r1');
  const body = JSON.stringify({
    model: 'test-model',
    messages: [{role: 'user', content: 'How much protein has lot 7?'}],
    max_tokens: 500,
    stream: true,
  });
  const socket = net.connect(plan.callerPort, plan.address);
  socket.write(
    `POST /v1/chat/completions HTTP/${version}\r\nHost: r1\r\n` +
      `Authorization: Bearer ${testWorkspaceKey(customer)}\r\n` +
      'Content-Type: application/json\r\n' +
      `Content-Length: ${body.length}\r\n\r\n${body}`,
  );
  let answer = '';
  for await (const data of socket.on('error', () => undefined)) {
    answer += String(data);
    if (answer.split('data: ').length > 3) process?.signal(signal);
  }
  return answer;
}

describe('a streamed chat whose daemon ends', () => {
  // Guards against parts of streams that look whole to their callers.
  it.each(
    ['1.1', '1.0'].flatMap(version =>
      (['SIGKILL', 'SIGABRT'] as const).map(
        signal => [version, signal] as const,
      ),
    ),
  )(
    'has no end: HTTP/%s, %s',
    async (version, signal) => {
      const answer = await readUntilKilled(version, signal);
      await scenario.cluster.start('r1');
      await scenario.waitForBackends();
      expect(answer).toMatch(/^HTTP\/1.1 200 /);
      expect(answer).toMatch(/data: .*data: /s);
      expect(answer).not.toMatch(/\[DONE\]|\r\n0\r\n/);
      if (version === '1.1') expect(answer).toMatch(/: chunked\r\n/i);
    },
    startMilliseconds,
  );
});
