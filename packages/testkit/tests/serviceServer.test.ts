/** @fileoverview Tests of the stand-in booking service. */
import {mkdtempSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';

import {afterEach, beforeEach, expect, it} from 'vitest';

import {
  defaultStandInOptions,
  readExecutions,
  ServiceServer,
} from '../src/index.js';

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(path.join(os.tmpdir(), 'service-'));
});

afterEach(() => rmSync(folder, {recursive: true}));

it('keeps executions across a restart and reports their outcome', async () => {
  const recordFile = path.join(folder, 'executions.jsonl');
  const first = new ServiceServer({...defaultStandInOptions, recordFile});
  await first.start();
  first.control({failure: {kind: 'dropAfterRun'}});
  const booking = fetch(`${first.url}/bookings`, {
    method: 'POST',
    headers: {'content-type': 'application/json', 'x-attempt-id': 'a1'},
    body: '{"lot": "l1"}',
  });
  await expect(booking).rejects.toThrow();
  await first.stop();

  const second = new ServiceServer({...defaultStandInOptions, recordFile});
  await second.start();
  const outcome = async (attempt: string) =>
    (await (await fetch(`${second.url}/attempts/${attempt}`)).json()) as object;
  expect(await outcome('a1')).toMatchObject({outcome: 'ran', status: 201});
  expect(await outcome('a2')).toEqual({outcome: 'didNotRun'});
  expect(readExecutions(recordFile)).toHaveLength(1);
  await second.stop();
});
