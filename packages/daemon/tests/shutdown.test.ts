import {pino} from 'pino';
import {expect, it} from 'vitest';

import {type StopReport, waitForShutdown} from '../src/shutdown.js';

const logger = pino({level: 'silent'});

function stoppableOf(stop: () => Promise<StopReport>) {
  return {stop, unfinished: () => ({requests: 3, settlements: 0})};
}

it('waits for running requests after the first signal', async () => {
  const whole = {requests: 0, settlements: 0};
  const report = waitForShutdown(
    stoppableOf(() => Promise.resolve(whole)),
    logger,
  );
  process.emit('SIGTERM');
  expect(await report).toEqual(whole);
});

it('stops at the second signal and reports unfinished requests', async () => {
  const report = waitForShutdown(
    stoppableOf(() => new Promise(() => {})),
    logger,
  );
  process.emit('SIGTERM');
  await new Promise(resolve => setImmediate(resolve));
  process.emit('SIGTERM');
  expect(await report).toEqual({requests: 3, settlements: 0});
});
